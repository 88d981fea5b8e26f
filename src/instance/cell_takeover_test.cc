#include <gtest/gtest.h>

#include <string>

#include "cell_testing/cell_checks.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Makes the store slow for the leader and returns the leader's index.
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

// Guards against calls that are sent into a network partition, where their outcome is unknown.
TEST(CellTakeoverTest, CallToPartitionedInstanceIsReportedAsNotRun) {
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

// Guards against two leaders that both accept jobs, and accepted jobs that are lost with the leader.
TEST(CellTakeoverTest, AcceptedJobsSurviveLeaderCrash) {
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

// Guards against waiting for the full takeover timeout when connections to the leader are refused.
TEST(CellTakeoverTest, KilledLeaderIsReplacedWithinOneSecond) {
  SimulatedCluster world(3, 2);
  world.Run(seconds(2));
  world.Kill(world.Leader());
  world.Run(milliseconds(1000));
  EXPECT_GE(world.Leader(), 0);
}

// Guards against waiting for the timeout of a leader that no longer exists after a full restart.
TEST(CellTakeoverTest, LeaderIsElectedAtOnceAfterFullRestart) {
  SimulatedCluster world(3, 2);
  world.Run(seconds(2));
  for (int i = 0; i < 3; ++i) world.Kill(i);
  world.Run(milliseconds(500));
  for (int i = 0; i < 3; ++i) world.Restart(i);
  world.Run(milliseconds(300));
  EXPECT_GE(world.Leader(), 0);
}

// Guards against a leader that can't write to the store but stays leader through its heartbeats.
TEST(CellTakeoverTest, LeaderWithoutStoreIsReplaced) {
  SimulatedCluster world(3, 2);
  world.Run(seconds(2));
  const int leader = world.Leader();
  world.At(leader).store->fault = StoreFault::kNoReply;
  world.Run(milliseconds(1500));
  EXPECT_NE(world.Leader(), leader);
  EXPECT_GE(world.Leader(), 0);
}

// Guards against clients that are kept in a partitioned failure domain: its instances reach each other, but neither the
// store nor the new leader.
TEST(CellTakeoverTest, InstancesPartitionedWithTheirLeaderAreNotReady) {
  SimulatedCluster world(4, 2);
  world.Run(seconds(2));
  const int leader = world.Leader();
  const int other_inside = AnyFollower(world);
  for (int i = 0; i < 4; ++i) {
    const bool is_inside = i == leader || i == other_inside;
    if (is_inside) world.At(i).store->fault = StoreFault::kNoReply;
    world.At(i).partitioned_from.insert(is_inside ? "u0" : "u1");
    for (int j = 0; j < 4; ++j) {
      if (is_inside != (j == leader || j == other_inside)) world.At(i).partitioned_from.insert(world.At(j).address);
    }
  }
  world.Run(milliseconds(2500));
  for (int i = 0; i < 4; ++i) {
    const bool is_inside = i == leader || i == other_inside;
    EXPECT_EQ(world.At(i).cell->is_ready(), !is_inside) << i;
    world.At(i).partitioned_from.clear();
    world.At(i).store->fault = StoreFault::kNone;
  }
  world.Run(milliseconds(1500));
  for (int i = 0; i < 4; ++i) EXPECT_TRUE(world.At(i).cell->is_ready()) << i;
}

// Guards against instances that report themselves as not ready because the store is slow.
TEST(CellTakeoverTest, SlowStoreKeepsInstancesReady) {
  SimulatedCluster world(3, 2);
  world.Run(seconds(2));
  for (int i = 0; i < 3; ++i) world.At(i).store->fault = StoreFault::kSlow;
  for (int step = 0; step < 50; ++step) {
    world.Run(milliseconds(100));
    for (int i = 0; i < 3; ++i) EXPECT_TRUE(world.At(i).cell->is_ready()) << i << " after " << step;
  }
}

// Guards against a takeover or dropped tasks during a store outage.
TEST(CellTakeoverTest, StoreOutageKeepsLeaderAndRunningTasks) {
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
  EXPECT_EQ(world.LastStatus("POST job2"), static_cast<int>(ClientOutcome::kUnavailable)) << "refused on arrival";
  for (int i = 0; i < 3; ++i) world.At(i).store->fault = StoreFault::kNone;
  world.Run(seconds(3));
  EXPECT_EQ(GetJobState(world, 0, "job1"), "completed");
  for (const auto& [task, starts] : world.history.starts) EXPECT_EQ(starts, 1) << FormatTaskKey(task);
  ExpectNoViolation(world);
}

// Guards against exceeding a slow store: it takes 90 rows a transaction and 2.5 transactions a second.
TEST(CellTakeoverTest, SlowStoreHandlesBurstOfJobs) {
  constexpr int kJobs = 240;
  SimulatedCluster world(2, 12);
  const int leader = LeaderWithSlowStore(world);
  SubmitSteadily(world, leader, kJobs, "tasks=1 ms=300", milliseconds(12));
  world.Run(seconds(3));
  EXPECT_EQ(world.Leader(), leader);
  ExpectAllAccepted(world, kJobs);
  ExpectAllCompleted(world, kJobs);
}

// Guards against a low limit on the number of jobs in one transaction.
TEST(CellTakeoverTest, SlowStoreHandles200JobsPerSecond) {
  constexpr int kJobs = 800;
  SimulatedCluster world(2, 40);
  const int leader = LeaderWithSlowStore(world);
  SubmitSteadily(world, leader, kJobs, "tasks=1 cpu=100 ms=300", milliseconds(5));
  // Acceptance takes two transactions; assignment and end of the last job take one each.
  world.Run(milliseconds(800));
  ExpectAllAccepted(world, kJobs);
  world.Run(milliseconds(1700));
  EXPECT_EQ(world.Leader(), leader);
  ExpectAllCompleted(world, kJobs);
}

// Guards against a second transaction that is sent before the outcome of the first is known.
TEST(CellTakeoverTest, LostStoreRepliesAreResolved) {
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

// Guards against a deposed leader that keeps sending orders.
TEST(CellTakeoverTest, FrozenLeaderIsFencedWhenItResumes) {
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

// Guards against a planned shutdown that interrupts calls or needs a timeout to replace the leader.
TEST(CellTakeoverTest, StoppingLeaderHandsOverImmediately) {
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
