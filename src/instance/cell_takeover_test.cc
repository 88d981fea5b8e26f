#include <gtest/gtest.h>

#include <string>

#include "cell_testing/cell_checks.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A leader in a world whose store is slow for it.
int LeaderWithSlowStore(SimulatedCluster& world) {
  world.Run(seconds(2));
  const int leader = world.Leader();
  world.At(leader).store->fault = StoreFault::kSlow;
  return leader;
}

void SubmitSteadily(SimulatedCluster& world, int instance, int jobs, const std::string& body, Duration pause) {
  for (int i = 0; i < jobs; ++i) {
    world.Call(instance, "POST", "job" + std::to_string(i), body);
    world.Run(pause);
  }
}

void ExpectAllAccepted(const SimulatedCluster& world, int jobs) {
  for (int i = 0; i < jobs; ++i) EXPECT_EQ(world.LastStatus("POST job" + std::to_string(i)), kAccepted) << i;
}

void ExpectAllCompleted(SimulatedCluster& world, int jobs) {
  for (int i = 0; i < jobs; ++i) EXPECT_EQ(GetJobState(world, 0, "job" + std::to_string(i)), "completed") << i;
}

// Guards against calls that are sent into a cut, so that nobody can tell whether they ran.
TEST(CellTakeoverTest, CallOfAnInstanceThatWasCutOffDidNotRun) {
  SimulatedCluster world(3, 4);
  world.Run(seconds(2));
  const int follower = AnyFollower(world);
  world.At(follower).store->fault = StoreFault::kNoReply;
  for (int i = 0; i < 3; ++i) world.At(follower).partitioned_from.insert(world.At(i).address);
  world.Run(milliseconds(650));
  world.Call(follower, "POST", "job1", "tasks=1");
  world.Run(seconds(3));
  EXPECT_EQ(world.LastStatus("POST job1"), FakeClientCodec::kNotRun);
}

// Guards against two leaders that both accept, and against accepted jobs that are lost with the leader.
TEST(CellTakeoverTest, AcceptedJobsSurviveTheLossOfTheLeader) {
  SimulatedCluster world(3, 4);
  world.Run(seconds(2));
  const int leader = world.Leader();
  const int follower = AnyFollower(world);
  for (int i = 0; i < 8; ++i) world.Call(follower, "POST", "job" + std::to_string(i), "tasks=3 ms=900");
  world.Run(milliseconds(300));
  world.Kill(leader);
  world.Run(seconds(1));
  ASSERT_GE(world.Leader(), 0);
  ASSERT_NE(world.Leader(), leader);
  world.Run(seconds(4));
  for (int i = 0; i < 8; ++i) EXPECT_EQ(GetJobState(world, follower, "job" + std::to_string(i)), "completed") << i;
  for (const auto& [task, starts] : world.history.starts) EXPECT_EQ(starts, 1) << FormatTaskKey(task);
  ExpectNoViolation(world);
}

// Guards against a takeover that takes longer than needed when nobody listens at the address of the leader.
TEST(CellTakeoverTest, KilledLeaderIsReplacedWithinOneSecond) {
  SimulatedCluster world(3, 2);
  world.Run(seconds(2));
  world.Kill(world.Leader());
  world.Run(milliseconds(1000));
  EXPECT_GE(world.Leader(), 0);
}

// Guards against waiting for the silence of a leader that every instance knows to be gone.
TEST(CellTakeoverTest, RestartOfAllInstancesTakesOverAtOnce) {
  SimulatedCluster world(3, 2);
  world.Run(seconds(2));
  for (int i = 0; i < 3; ++i) world.Kill(i);
  world.Run(milliseconds(500));
  for (int i = 0; i < 3; ++i) world.Restart(i);
  world.Run(milliseconds(300));
  EXPECT_GE(world.Leader(), 0);
}

// Guards against a leader that can't write and still keeps its followers waiting.
TEST(CellTakeoverTest, LeaderWithoutTheStoreIsReplaced) {
  SimulatedCluster world(3, 2);
  world.Run(seconds(2));
  const int leader = world.Leader();
  world.At(leader).store->fault = StoreFault::kNoReply;
  world.Run(milliseconds(1500));
  EXPECT_NE(world.Leader(), leader);
  EXPECT_GE(world.Leader(), 0);
}

// Guards against clients that are kept in a failure domain that can't serve them: its instances hear each other, but
// neither the store nor the new leader.
TEST(CellTakeoverTest, InstancesCutOffWithTheirLeaderAreNotReady) {
  SimulatedCluster world(4, 2);
  world.Run(seconds(2));
  const int leader = world.Leader();
  const int companion = AnyFollower(world);
  for (int i = 0; i < 4; ++i) {
    const bool is_inside = i == leader || i == companion;
    if (is_inside) world.At(i).store->fault = StoreFault::kNoReply;
    world.At(i).partitioned_from.insert(is_inside ? "u0" : "u1");
    for (int j = 0; j < 4; ++j) {
      if (is_inside != (j == leader || j == companion)) world.At(i).partitioned_from.insert(world.At(j).address);
    }
  }
  world.Run(milliseconds(2500));
  for (int i = 0; i < 4; ++i) {
    const bool is_inside = i == leader || i == companion;
    EXPECT_EQ(world.At(i).cell->is_ready(), !is_inside) << i;
    world.At(i).partitioned_from.clear();
    world.At(i).store->fault = StoreFault::kNone;
  }
  world.Run(milliseconds(1500));
  for (int i = 0; i < 4; ++i) EXPECT_TRUE(world.At(i).cell->is_ready()) << i;
}

// Guards against instances that leave the rotation of clients because the store is slow.
TEST(CellTakeoverTest, SlowStoreKeepsInstancesReady) {
  SimulatedCluster world(3, 2);
  world.Run(seconds(2));
  for (int i = 0; i < 3; ++i) world.At(i).store->fault = StoreFault::kSlow;
  for (int step = 0; step < 50; ++step) {
    world.Run(milliseconds(100));
    for (int i = 0; i < 3; ++i) EXPECT_TRUE(world.At(i).cell->is_ready()) << i << " after " << step;
  }
}

// Guards against a takeover during an outage of the store, and against work that is dropped in one.
TEST(CellTakeoverTest, OutageOfTheStoreKeepsTheLeaderAndTheRunningWork) {
  SimulatedCluster world(3, 2);
  world.Run(seconds(2));
  const int leader = world.Leader();
  world.Call(0, "POST", "job1", "tasks=2 ms=6000");
  world.Run(milliseconds(300));
  for (int i = 0; i < 3; ++i) world.At(i).store->fault = StoreFault::kRefusing;
  world.Run(seconds(5));
  EXPECT_EQ(world.Leader(), leader);
  world.Call(0, "POST", "job2", "tasks=1");
  world.Run(milliseconds(50));
  EXPECT_EQ(world.LastStatus("POST job2"), static_cast<int>(ClientOutcome::kUnavailable)) << "known at arrival";
  for (int i = 0; i < 3; ++i) world.At(i).store->fault = StoreFault::kNone;
  world.Run(seconds(3));
  EXPECT_EQ(GetJobState(world, 0, "job1"), "completed");
  for (const auto& [task, starts] : world.history.starts) EXPECT_EQ(starts, 1) << FormatTaskKey(task);
  ExpectNoViolation(world);
}

// Guards against more rows than a slow store takes: 90 in a transaction, and 2.5 transactions a second.
TEST(CellTakeoverTest, SlowStoreTakesABurstOfJobs) {
  constexpr int kJobs = 240;
  SimulatedCluster world(2, 12);
  const int leader = LeaderWithSlowStore(world);
  SubmitSteadily(world, leader, kJobs, "tasks=1 ms=300", milliseconds(12));
  world.Run(seconds(3));
  EXPECT_EQ(world.Leader(), leader);
  ExpectAllAccepted(world, kJobs);
  ExpectAllCompleted(world, kJobs);
}

// Guards against a limit on the jobs that one transaction can carry.
TEST(CellTakeoverTest, SlowStoreTakesTwoHundredJobsASecond) {
  constexpr int kJobs = 800;
  SimulatedCluster world(2, 40);
  const int leader = LeaderWithSlowStore(world);
  SubmitSteadily(world, leader, kJobs, "tasks=1 cpu=100 ms=300", milliseconds(5));
  // Two transactions for the acceptance; the last job has a transaction each for its assignment and its end.
  world.Run(milliseconds(800));
  ExpectAllAccepted(world, kJobs);
  world.Run(milliseconds(1700));
  EXPECT_EQ(world.Leader(), leader);
  ExpectAllCompleted(world, kJobs);
}

// Guards against a second transaction that is sent before it is certain what became of the first.
TEST(CellTakeoverTest, LostAnswersOfTheStoreAreSettled) {
  SimulatedCluster world(2, 2);
  world.Run(seconds(2));
  const int leader = world.Leader();
  world.At(leader).store->fault = StoreFault::kReplyLost;
  world.Call(leader, "POST", "job1", "tasks=2 ms=300");
  world.Run(milliseconds(500));
  world.At(leader).store->fault = StoreFault::kNone;
  world.Run(seconds(4));
  EXPECT_EQ(world.LastStatus("POST job1"), kAccepted);
  EXPECT_EQ(GetJobState(world, 0, "job1"), "completed");
  ExpectNoViolation(world);
}

// Guards against a deposed leader that goes on to order.
TEST(CellTakeoverTest, FrozenLeaderIsFencedWhenItWakes) {
  SimulatedCluster world(3, 3);
  world.Run(seconds(2));
  const int leader = world.Leader();
  const int follower = AnyFollower(world);
  for (int i = 0; i < 5; ++i) world.Call(follower, "POST", "job" + std::to_string(i), "tasks=2 ms=2500");
  world.Run(milliseconds(60));
  world.At(leader).is_paused = true;
  world.Run(seconds(4));
  world.At(leader).is_paused = false;
  world.Run(seconds(6));
  EXPECT_FALSE(world.At(leader).cell->is_leader());
  for (int i = 0; i < 5; ++i) EXPECT_EQ(GetJobState(world, follower, "job" + std::to_string(i)), "completed") << i;
  ExpectNoViolation(world);
}

// Guards against a planned stop that interrupts calls or takes a silence to replace the leader.
TEST(CellTakeoverTest, StoppingLeaderHandsOverAtOnce) {
  SimulatedCluster world(3, 2);
  world.Run(seconds(2));
  const int leader = world.Leader();
  const int follower = AnyFollower(world);
  world.Call(follower, "POST", "job1", "tasks=2 ms=1500");
  world.At(leader).cell->BeginStop();
  world.Run(milliseconds(400));
  EXPECT_GE(world.Leader(), 0);
  EXPECT_NE(world.Leader(), leader);
  EXPECT_TRUE(world.At(leader).cell->can_exit());
  world.Run(seconds(3));
  EXPECT_EQ(GetJobState(world, follower, "job1"), "completed");
  for (const auto& [task, starts] : world.history.starts) EXPECT_EQ(starts, 1) << FormatTaskKey(task);
}

}  // namespace
}  // namespace jaymast
