#include <gtest/gtest.h>

#include <set>
#include <string>

#include "cell_testing/cell_checks.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a broken path from submission at a follower to completion.
TEST(CellJobsTest, JobSubmittedToFollowerCompletes) {
  SimulatedCluster cluster(3, 4);
  cluster.Run(seconds(2));
  ASSERT_GE(cluster.Leader(), 0);
  cluster.Call(AnyFollower(cluster), "POST", "job1", "tasks=5 steps=2 ms=300");
  cluster.Run(milliseconds(200));
  EXPECT_EQ(cluster.LastStatus("POST job1"), kAccepted);
  cluster.Run(seconds(2));
  EXPECT_EQ(GetJobState(cluster, AnyFollower(cluster), "job1"), "completed");
  EXPECT_EQ(cluster.history.done.size(), 10U);
  ExpectNoViolation(cluster);
}

// Guards against a response margin that uses up a short client timeout.
TEST(CellJobsTest, CallWithShortTimeoutIsServed) {
  SimulatedCluster cluster(3, 4);
  cluster.Run(seconds(2));
  cluster.Call(AnyFollower(cluster), "POST", "job1", "tasks=1", "key", 80);
  cluster.Run(milliseconds(80));
  EXPECT_EQ(cluster.LastStatus("POST job1"), kAccepted);
}

// Guards against policy tickets that are not requested or not used.
TEST(CellJobsTest, QueueWithPolicyStartsTasksWithTickets) {
  SimulatedCluster cluster(3, 6);
  cluster.config->queues.front().policy = PolicyConfig{20, 1, 2000};
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "job1", "tasks=4 ms=300 gang");
  cluster.Run(seconds(2));
  EXPECT_GE(cluster.policy_service.calls, 1);
  EXPECT_EQ(GetJobState(cluster, 0, "job1"), "completed");
}

// Guards against gang members that run several times as long because they are spread over racks.
TEST(CellJobsTest, SameRackGangIsPlacedOnOneRack) {
  SimulatedCluster cluster(1, 6);
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "job1", "tasks=1 cpu=5000 ms=4000");
  cluster.Run(milliseconds(300));
  cluster.Call(0, "POST", "job2", "tasks=22 cpu=1000 ms=2000 gang rack");
  cluster.Run(milliseconds(500));
  std::set<std::string> racks;
  for (const auto& upstream : cluster.fake_upstreams) {
    if (upstream->running_tasks() > 1) racks.insert(upstream->listing().rack);
  }
  EXPECT_EQ(racks.size(), 1U);
  cluster.Run(seconds(6));
  EXPECT_EQ(GetJobState(cluster, 0, "job2"), "completed");
}

// Guards against an assumed lease that each failed call extends, so that lost tasks are never restarted.
TEST(CellJobsTest, TasksOfCrashedUpstreamRestartAfterItsLease) {
  SimulatedCluster cluster(2, 2);
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "job1", "tasks=2 cpu=5000 ms=3000");
  cluster.Run(milliseconds(500));
  ASSERT_EQ(cluster.history.starts.size(), 2U);
  cluster.fake_upstreams[0]->Restart();
  cluster.fake_upstreams[0]->is_reachable = false;
  cluster.Run(seconds(14));
  EXPECT_EQ(GetJobState(cluster, 0, "job1"), "completed");
  ExpectNoViolation(cluster);
}

// Guards against a second run beside one whose upstream has restarted and holds a lease on its earlier clock, which
// ends later than the leader granted it.
TEST(CellJobsTest, LeaseOnEarlierClockOfUpstreamDelaysRestart) {
  SimulatedCluster cluster(2, 2);
  cluster.Run(seconds(8));
  FakeUpstream* restarted = nullptr;
  cluster.drops_start = [&cluster, &restarted](const StartOrder& order) {
    // The order is received after the restart.
    if (restarted == nullptr) {
      restarted = cluster.FindUpstream(order.target.address);
      restarted->Restart();
    }
    return false;
  };
  cluster.Call(0, "POST", "job1", "tasks=1 cpu=8000 ms=9000");
  while (cluster.history.starts.empty()) cluster.Run(milliseconds(1));
  cluster.Run(milliseconds(3));
  restarted->is_reachable = false;
  cluster.Run(seconds(25));
  EXPECT_EQ(GetJobState(cluster, 0, "job1"), "completed");
  ExpectNoViolation(cluster);
}

// Guards against a second run while the first continues behind a network partition.
TEST(CellJobsTest, TasksBehindShortPartitionAreNotRestarted) {
  SimulatedCluster cluster(2, 2);
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "job1", "tasks=2 cpu=5000 ms=3000");
  cluster.Run(milliseconds(500));
  cluster.fake_upstreams[0]->is_reachable = false;
  cluster.Run(seconds(5));
  cluster.fake_upstreams[0]->is_reachable = true;
  cluster.Run(seconds(3));
  EXPECT_EQ(GetJobState(cluster, 0, "job1"), "completed");
  for (const auto& [task, starts] : cluster.history.starts) EXPECT_EQ(starts, 1) << FormatTaskKey(task);
  ExpectNoViolation(cluster);
}

// Guards against a repeated start order that causes a second run, and an abandoned one that was received.
TEST(CellJobsTest, StartsWithoutReplyAreRetriedOrFenced) {
  SimulatedCluster cluster(2, 3);
  cluster.Run(seconds(2));
  int dropped = 0;
  cluster.drops_start = [&dropped](const StartOrder& order) { return order.task.index == 0 && ++dropped <= 2; };
  cluster.drops_start_reply = [](const StartOrder& order) { return order.task.index == 1; };
  cluster.Call(0, "POST", "job1", "tasks=3 ms=400");
  cluster.Run(seconds(6));
  EXPECT_EQ(GetJobState(cluster, 0, "job1"), "completed");
  ExpectNoViolation(cluster);
}

// Guards against a start order that is executed seconds late, after its task was placed elsewhere.
TEST(CellJobsTest, DelayedStartOrdersCauseNoSecondRun) {
  SimulatedCluster cluster(2, 3);
  cluster.Run(seconds(2));
  cluster.start_delay = [](const StartOrder& order) {
    return order.run == 1 ? Duration(milliseconds(2500)) : Duration::zero();
  };
  cluster.Call(0, "POST", "job1", "tasks=6 ms=4000");
  cluster.Run(seconds(12));
  EXPECT_EQ(GetJobState(cluster, 0, "job1"), "completed");
  ExpectNoViolation(cluster);
}

// Guards against a gang that waits forever for a member whose start was refused.
TEST(CellJobsTest, GangWithRefusedMemberRestartsAsAWhole) {
  SimulatedCluster cluster(1, 4, 2000);
  cluster.Run(seconds(2));
  cluster.start_status = [](const StartOrder& order) {
    return order.run == 1 && order.task.index == 2 ? OrderStatus::kNoCapacity : OrderStatus::kAccepted;
  };
  cluster.Call(0, "POST", "job1", "tasks=4 cpu=2000 ms=800 gang");
  cluster.Run(seconds(4));
  EXPECT_EQ(GetJobState(cluster, 0, "job1"), "completed");
  for (const auto& [task, runs] : cluster.history.runs) EXPECT_TRUE(runs.contains(2)) << FormatTaskKey(task);
  ExpectNoViolation(cluster);
}

// Guards against unlimited retries of a job that always fails.
TEST(CellJobsTest, JobFailsAfterMaxAttempts) {
  SimulatedCluster cluster(2, 3);
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "job1", "tasks=1 ms=200 fails");
  cluster.Run(seconds(20));
  EXPECT_EQ(GetJobState(cluster, 0, "job1"), "failed");
  EXPECT_EQ(cluster.history.starts.begin()->second, 3);
}

// Guards against tasks of a cancelled job that keep running or start later.
TEST(CellJobsTest, CancelledJobStopsItsTasks) {
  SimulatedCluster cluster(2, 1, 2000);
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "job1", "tasks=4 cpu=1000 ms=5000");
  cluster.Run(milliseconds(500));
  cluster.Call(1, "DELETE", "job1");
  cluster.Run(seconds(1));
  EXPECT_EQ(cluster.LastStatus("DELETE job1"), kCancelled);
  for (const auto& [task, running] : cluster.history.running) EXPECT_EQ(running, 0) << FormatTaskKey(task);
  EXPECT_EQ(cluster.history.starts.size(), 2U);
  EXPECT_EQ(GetJobState(cluster, 0, "job1"), "cancelled");
}

// Guards against starts beyond the limit of an organisation.
TEST(CellJobsTest, OrganisationLimitIsEnforced) {
  SimulatedCluster cluster(1, 4);
  cluster.config->teams[TeamId("team")].limit.cpu_millis = 3000;
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "job1", "tasks=9 cpu=1000 ms=1000");
  cluster.Run(milliseconds(500));
  int running = 0;
  for (const auto& [task, count] : cluster.history.running) running += count;
  EXPECT_EQ(running, 3);
  cluster.Run(seconds(5));
  EXPECT_EQ(GetJobState(cluster, 0, "job1"), "completed");
}

// Guards against starts on draining upstreams and in failure domains that are out of service.
TEST(CellJobsTest, DrainingAndEvacuatedUpstreamsGetNoTasks) {
  SimulatedCluster cluster(1, 3);
  cluster.fake_upstreams[0]->listing().is_draining = true;
  cluster.domains_out_of_service.insert(cluster.fake_upstreams[1]->listing().domain);
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "job1", "tasks=6 ms=300");
  cluster.Run(seconds(2));
  EXPECT_EQ(GetJobState(cluster, 0, "job1"), "completed");
  cluster.fake_upstreams[2]->listing().is_draining = true;
  cluster.Run(seconds(1));
  cluster.Call(0, "POST", "job2", "tasks=1 ms=300");
  cluster.Run(seconds(2));
  EXPECT_EQ(cluster.history.starts.size(), 6U);
}

// Guards against an "unknown key" response to a retry of an accepted call whose key was revoked in between.
TEST(CellJobsTest, RetryOfAcceptedCallGetsSameResponse) {
  SimulatedCluster cluster(2, 2);
  cluster.Run(seconds(2));
  const int leader = cluster.Leader();
  cluster.At(leader).store->fault = StoreFault::kReplyLost;
  cluster.Call(AnyFollower(cluster), "POST", "job1", "tasks=1 ms=300");
  cluster.Run(milliseconds(100));
  cluster.At(leader).store->fault = StoreFault::kNone;
  cluster.config->version = 2;
  cluster.config->team_of_key.clear();
  cluster.Run(seconds(3));
  EXPECT_EQ(cluster.LastStatus("POST job1"), kAccepted);
  cluster.Call(leader, "POST", "job2", "tasks=1 ms=300");
  cluster.Run(seconds(1));
  EXPECT_EQ(cluster.LastStatus("POST job2"), kUnknownKey);
}

// Guards against a wrong "no such job" from an instance that can't confirm its leadership.
TEST(CellJobsTest, OnlyConfirmedLeaderReportsUnknownJob) {
  SimulatedCluster cluster(2, 2);
  cluster.Run(seconds(2));
  cluster.Call(0, "GET", "nothing");
  cluster.Run(milliseconds(100));
  EXPECT_EQ(cluster.LastStatus("GET nothing"), kNoSuchJob);
  for (int i = 0; i < 2; ++i) cluster.At(i).store->fault = StoreFault::kNoReply;
  cluster.Run(seconds(3));
  cluster.Call(cluster.Leader(), "GET", "nothing2");
  cluster.Run(seconds(4));
  EXPECT_NE(cluster.LastStatus("GET nothing2"), kNoSuchJob);
}

// Guards against one organisation that reads or cancels the jobs of another.
TEST(CellJobsTest, JobsOfOtherOrganisationsAreHidden) {
  SimulatedCluster cluster(2, 2);
  cluster.config->teams[TeamId("other")] = TeamConfig{TeamId("other"), 1000, {}};
  cluster.config->team_of_key["other"] = TeamId("other");
  cluster.config->team_of_key["second"] = TeamId("team");
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "job1", "tasks=1 ms=3000");
  cluster.Run(seconds(1));
  cluster.Call(0, "GET", "job1", "", "other");
  cluster.Call(1, "DELETE", "job1", "", "other");
  cluster.Run(seconds(1));
  EXPECT_EQ(cluster.LastStatus("GET job1"), kNoSuchJob);
  EXPECT_EQ(cluster.LastStatus("DELETE job1"), kNoSuchJob);
  cluster.Call(0, "GET", "job1", "", "second");
  cluster.Run(seconds(1));
  EXPECT_EQ(cluster.LastBody("GET job1"), "running");
  cluster.Run(seconds(3));
  EXPECT_EQ(GetJobState(cluster, 0, "job1"), "completed");
}

}  // namespace
}  // namespace jaymast
