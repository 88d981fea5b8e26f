#include <gtest/gtest.h>

#include <set>
#include <string>

#include "cell_testing/cell_checks.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a path from acceptance to completion that is broken somewhere.
TEST(CellJobsTest, JobSentToAFollowerRunsAndIsShown) {
  SimulatedCluster world(3, 4);
  world.Run(seconds(2));
  ASSERT_GE(world.Leader(), 0);
  world.Call(AnyFollower(world), "POST", "job1", "tasks=5 steps=2 ms=300");
  world.Run(milliseconds(200));
  EXPECT_EQ(world.LastStatus("POST job1"), kAccepted);
  world.Run(seconds(2));
  EXPECT_EQ(GetJobState(world, AnyFollower(world), "job1"), "completed");
  EXPECT_EQ(world.history.done.size(), 10U);
  ExpectNoViolation(world);
}

// Guards against a margin that leaves no time to a call that comes at the end of its client's patience.
TEST(CellJobsTest, CallOfAnImpatientClientIsServed) {
  SimulatedCluster world(3, 4);
  world.Run(seconds(2));
  world.Call(AnyFollower(world), "POST", "job1", "tasks=1", "key", 80);
  world.Run(milliseconds(80));
  EXPECT_EQ(world.LastStatus("POST job1"), kAccepted);
}

// Guards against policy tickets that are not asked for or not used.
TEST(CellJobsTest, QueueWithPolicyStartsWithTickets) {
  SimulatedCluster world(3, 6);
  world.config->queues.front().policy = PolicyConfig{20, 1, 2000};
  world.Run(seconds(2));
  world.Call(0, "POST", "job1", "tasks=4 ms=300 gang");
  world.Run(seconds(2));
  EXPECT_GE(world.policy_calls, 1);
  EXPECT_EQ(GetJobState(world, 0, "job1"), "completed");
}

// Guards against members that work several times as long because they were spread over racks.
TEST(CellJobsTest, GangThatNeedsOneRackIsKeptOnIt) {
  SimulatedCluster world(1, 6);
  world.Run(seconds(2));
  world.Call(0, "POST", "job1", "tasks=1 cpu=5000 ms=4000");
  world.Run(milliseconds(300));
  world.Call(0, "POST", "job2", "tasks=22 cpu=1000 ms=2000 gang rack");
  world.Run(milliseconds(500));
  std::set<std::string> racks;
  for (const auto& upstream : world.fake_upstreams) {
    if (upstream->running_tasks() > 1) racks.insert(upstream->listing().rack);
  }
  EXPECT_EQ(racks.size(), 1U);
  world.Run(seconds(6));
  EXPECT_EQ(GetJobState(world, 0, "job2"), "completed");
}

// Guards against an assumed lease that each unanswered call extends, so that lost work never comes back.
TEST(CellJobsTest, WorkOfACrashedUpstreamRunsAgainAfterItsLease) {
  SimulatedCluster world(2, 2);
  world.Run(seconds(2));
  world.Call(0, "POST", "job1", "tasks=2 cpu=5000 ms=3000");
  world.Run(milliseconds(500));
  ASSERT_EQ(world.history.starts.size(), 2U);
  world.fake_upstreams[0]->Restart();
  world.fake_upstreams[0]->is_reachable = false;
  world.Run(seconds(14));
  EXPECT_EQ(GetJobState(world, 0, "job1"), "completed");
  ExpectNoViolation(world);
}

// Guards against a second run while the first goes on behind a cut.
TEST(CellJobsTest, WorkBehindAShortCutIsNotRepeated) {
  SimulatedCluster world(2, 2);
  world.Run(seconds(2));
  world.Call(0, "POST", "job1", "tasks=2 cpu=5000 ms=3000");
  world.Run(milliseconds(500));
  world.fake_upstreams[0]->is_reachable = false;
  world.Run(seconds(5));
  world.fake_upstreams[0]->is_reachable = true;
  world.Run(seconds(3));
  EXPECT_EQ(GetJobState(world, 0, "job1"), "completed");
  for (const auto& [task, starts] : world.history.starts) EXPECT_EQ(starts, 1) << FormatTaskKey(task);
  ExpectNoViolation(world);
}

// Guards against a repeated order that starts a second run, and against one that is given up though it was received.
TEST(CellJobsTest, StartsWithoutAnAnswerAreRepeatedOrFenced) {
  SimulatedCluster world(2, 3);
  world.Run(seconds(2));
  int lost = 0;
  world.drops_start = [&lost](const StartOrder& order) { return order.task.index == 0 && ++lost <= 2; };
  world.drops_start_reply = [](const StartOrder& order) { return order.task.index == 1; };
  world.Call(0, "POST", "job1", "tasks=3 ms=400");
  world.Run(seconds(6));
  EXPECT_EQ(GetJobState(world, 0, "job1"), "completed");
  ExpectNoViolation(world);
}

// Guards against an order that is carried out seconds later, after its task was placed elsewhere.
TEST(CellJobsTest, LateOrdersDoNotStartASecondRun) {
  SimulatedCluster world(2, 3);
  world.Run(seconds(2));
  world.start_delay = [](const StartOrder& order) {
    return order.run == 1 ? Duration(milliseconds(2500)) : Duration::zero();
  };
  world.Call(0, "POST", "job1", "tasks=6 ms=4000");
  world.Run(seconds(12));
  EXPECT_EQ(GetJobState(world, 0, "job1"), "completed");
  ExpectNoViolation(world);
}

// Guards against a refused member that leaves the others of its gang waiting.
TEST(CellJobsTest, GangWithARefusedMemberStartsAgainAsAWhole) {
  SimulatedCluster world(1, 4, 2000);
  world.Run(seconds(2));
  world.start_status = [](const StartOrder& order) {
    return order.run == 1 && order.task.index == 2 ? OrderStatus::kNoCapacity : OrderStatus::kAccepted;
  };
  world.Call(0, "POST", "job1", "tasks=4 cpu=2000 ms=800 gang");
  world.Run(seconds(4));
  EXPECT_EQ(GetJobState(world, 0, "job1"), "completed");
  for (const auto& [task, runs] : world.history.runs) EXPECT_TRUE(runs.contains(2)) << FormatTaskKey(task);
  ExpectNoViolation(world);
}

// Guards against endless runs of a job that can never be done.
TEST(CellJobsTest, JobFailsAfterItsAttempts) {
  SimulatedCluster world(2, 3);
  world.Run(seconds(2));
  world.Call(0, "POST", "job1", "tasks=1 ms=200 fails");
  world.Run(seconds(20));
  EXPECT_EQ(GetJobState(world, 0, "job1"), "failed");
  EXPECT_EQ(world.history.starts.begin()->second, 3);
}

// Guards against tasks of a cancelled job that go on or start later.
TEST(CellJobsTest, CancelledJobStops) {
  SimulatedCluster world(2, 1, 2000);
  world.Run(seconds(2));
  world.Call(0, "POST", "job1", "tasks=4 cpu=1000 ms=5000");
  world.Run(milliseconds(500));
  world.Call(1, "DELETE", "job1");
  world.Run(seconds(1));
  EXPECT_EQ(world.LastStatus("DELETE job1"), kCancelled);
  for (const auto& [task, running] : world.history.running) EXPECT_EQ(running, 0) << FormatTaskKey(task);
  EXPECT_EQ(world.history.starts.size(), 2U);
  EXPECT_EQ(GetJobState(world, 0, "job1"), "cancelled");
}

// Guards against starts beyond the limit of an organisation.
TEST(CellJobsTest, OrganisationStaysBelowItsLimit) {
  SimulatedCluster world(1, 4);
  world.config->teams[TeamId("team")].limit.cpu_millis = 3000;
  world.Run(seconds(2));
  world.Call(0, "POST", "job1", "tasks=9 cpu=1000 ms=1000");
  world.Run(milliseconds(500));
  int running = 0;
  for (const auto& [task, count] : world.history.running) running += count;
  EXPECT_EQ(running, 3);
  world.Run(seconds(5));
  EXPECT_EQ(GetJobState(world, 0, "job1"), "completed");
}

// Guards against starts on draining upstreams and in failure domains that are out.
TEST(CellJobsTest, DrainingAndEvacuatedUpstreamsGetNoWork) {
  SimulatedCluster world(1, 3);
  world.fake_upstreams[0]->listing().is_draining = true;
  world.domains_out_of_service.insert(world.fake_upstreams[1]->listing().domain);
  world.Run(seconds(2));
  world.Call(0, "POST", "job1", "tasks=6 ms=300");
  world.Run(seconds(2));
  EXPECT_EQ(GetJobState(world, 0, "job1"), "completed");
  world.fake_upstreams[2]->listing().is_draining = true;
  world.Run(seconds(1));
  world.Call(0, "POST", "job2", "tasks=1 ms=300");
  world.Run(seconds(2));
  EXPECT_EQ(world.history.starts.size(), 6U);
}

// Guards against an accepted job whose client is told that its key is unknown, because the key was revoked in between.
TEST(CellJobsTest, CopyOfAnAcceptedCallIsAnsweredAlike) {
  SimulatedCluster world(2, 2);
  world.Run(seconds(2));
  const int leader = world.Leader();
  world.At(leader).store->fault = StoreFault::kReplyLost;
  world.Call(AnyFollower(world), "POST", "job1", "tasks=1 ms=300");
  world.Run(milliseconds(100));
  world.At(leader).store->fault = StoreFault::kNone;
  world.config->version = 2;
  world.config->team_of_key.clear();
  world.Run(seconds(3));
  EXPECT_EQ(world.LastStatus("POST job1"), kAccepted);
  world.Call(leader, "POST", "job2", "tasks=1 ms=300");
  world.Run(seconds(1));
  EXPECT_EQ(world.LastStatus("POST job2"), kUnknownKey);
}

// Guards against a wrong "no such job" by an instance that is not sure to lead.
TEST(CellJobsTest, UnknownJobIsDeniedOnlyByAConfirmedLeader) {
  SimulatedCluster world(2, 2);
  world.Run(seconds(2));
  world.Call(0, "GET", "nothing");
  world.Run(milliseconds(100));
  EXPECT_EQ(world.LastStatus("GET nothing"), kNoSuchJob);
  for (int i = 0; i < 2; ++i) world.At(i).store->fault = StoreFault::kNoReply;
  world.Run(seconds(3));
  world.Call(world.Leader(), "GET", "nothing2");
  world.Run(seconds(4));
  EXPECT_NE(world.LastStatus("GET nothing2"), kNoSuchJob);
}

}  // namespace
}  // namespace jaymast
