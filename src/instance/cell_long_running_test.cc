#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "cell_testing/cell_checks.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a failed long-running task that waits behind batch work because its job is older than any objective.
TEST(CellLongRunningTest, FailedTaskRestartsBeforeQueuedBatchWork) {
  SimulatedCluster cluster(1, 2, 2000);
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "service", "tasks=1 cpu=2000 lasts");
  cluster.Run(seconds(75));
  ASSERT_EQ(cluster.history.starts.size(), 1U);
  const TaskKey task = cluster.history.starts.begin()->first;
  for (int i = 0; i < 60; ++i) {
    cluster.Call(0, "POST", "batch" + std::to_string(i), "tasks=1 cpu=2000 ms=1000");
    cluster.Run(milliseconds(20));
  }
  FakeUpstream& upstream = *cluster.fake_upstreams[cluster.fake_upstreams[0]->Runs(task) ? 0 : 1];
  upstream.EndRun(task, EndKind::kFailed);
  // One batch task may take the freed upstream before the end of the long-running one is known.
  cluster.Run(milliseconds(2'500));
  EXPECT_EQ(cluster.history.running[task], 1);
  ExpectNoViolation(cluster);
}

/// Ends all runs of the cluster in the same way.
void EndAllRuns(SimulatedCluster& cluster, EndKind kind) {
  std::vector<TaskKey> tasks;
  for (const auto& [task, running] : cluster.history.running) tasks.push_back(task);
  for (const TaskKey& task : tasks) {
    for (const auto& upstream : cluster.fake_upstreams) {
      if (upstream->Runs(task)) upstream->EndRun(task, kind);
    }
  }
}

class LongRunningEndTest : public testing::TestWithParam<EndKind> {};

// Guards against a long-running task that is not started again because of how its run has ended, before or after a
// takeover. A task that had ended "done" stayed down, and its job was shown as completed.
TEST_P(LongRunningEndTest, TaskIsStartedAgainHoweverItEnds) {
  SimulatedCluster cluster(2, 2);
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "service", "tasks=3 cpu=1000 lasts");
  cluster.Run(seconds(1));
  EndAllRuns(cluster, GetParam());
  cluster.Run(seconds(2));
  EXPECT_EQ(cluster.fake_upstreams[0]->running_tasks() + cluster.fake_upstreams[1]->running_tasks(), 3U);
  EndAllRuns(cluster, GetParam());
  cluster.Kill(cluster.Leader());
  cluster.Run(seconds(4));
  EXPECT_EQ(cluster.fake_upstreams[0]->running_tasks() + cluster.fake_upstreams[1]->running_tasks(), 3U);
  EXPECT_EQ(GetJobState(cluster, cluster.Leader(), "service"), "running");
  ExpectNoViolation(cluster);
}

// Guards against a long-running gang whose members stay down after one of them has ended.
TEST_P(LongRunningEndTest, GangIsStartedAgainHoweverAMemberEnds) {
  SimulatedCluster cluster(1, 2);
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "service", "tasks=3 cpu=1000 lasts gang");
  cluster.Run(seconds(1));
  FakeUpstream& upstream = *cluster.fake_upstreams[cluster.fake_upstreams[0]->running_tasks() > 0 ? 0 : 1];
  const TaskKey member = cluster.history.starts.begin()->first;
  ASSERT_TRUE(upstream.Runs(member));
  upstream.EndRun(member, GetParam());
  EndAllRuns(cluster, EndKind::kBroken);
  cluster.Run(seconds(3));
  EXPECT_EQ(cluster.fake_upstreams[0]->running_tasks() + cluster.fake_upstreams[1]->running_tasks(), 3U);
  EXPECT_EQ(GetJobState(cluster, 0, "service"), "running");
  ExpectNoViolation(cluster);
}

INSTANTIATE_TEST_SUITE_P(Ends, LongRunningEndTest,
                         testing::Values(EndKind::kDone, EndKind::kFailed, EndKind::kStopped, EndKind::kLeaseExpired,
                                         EndKind::kBroken, EndKind::kAlone),
                         [](const auto& info) { return std::string(ToString(info.param)); });

/// Loses one of three upstreams for good, and the leader each time after a pause.
/// @return how long the tasks of that upstream were down
Duration TimeWithoutRuns(const std::vector<milliseconds>& pauses_before_takeover) {
  constexpr std::size_t kTasks = 6;
  SimulatedCluster cluster(4, 3);
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "service", "tasks=6 cpu=1000 lasts");
  cluster.Run(seconds(2));
  FakeUpstream* lost = nullptr;
  for (const auto& upstream : cluster.fake_upstreams) {
    if (upstream->running_tasks() > 0) lost = upstream.get();
  }
  EXPECT_NE(lost, nullptr);
  const Time lost_at = cluster.queue.now();
  lost->is_reachable = false;
  lost->Restart();
  for (const milliseconds pause : pauses_before_takeover) {
    cluster.Run(pause);
    cluster.Kill(cluster.Leader());
    cluster.Run(seconds(2));
  }
  const auto count = [&cluster] {
    std::size_t running = 0;
    for (const auto& upstream : cluster.fake_upstreams) running += upstream->running_tasks();
    return running;
  };
  while (count() < kTasks && cluster.queue.now() - lost_at < seconds(40)) cluster.Run(milliseconds(50));
  ExpectNoViolation(cluster);
  return cluster.queue.now() - lost_at;
}

/// A task that lasts may have no run for 3 s from 6 s after its last one, by the rules of the platform.
constexpr milliseconds kMaxTimeWithoutRuns{9'000};

// Guards against a takeover that makes tasks of a lost upstream wait for the longest possible lease from then on,
// although the earlier leader knew when the last lease ended.
TEST(CellLongRunningTest, TakeoverDoesNotProlongTheWaitForLeases) {
  EXPECT_LT(TimeWithoutRuns({}), kMaxTimeWithoutRuns);
  EXPECT_LT(TimeWithoutRuns({milliseconds(3'000)}), kMaxTimeWithoutRuns);
  EXPECT_LT(TimeWithoutRuns({milliseconds(5'000)}), kMaxTimeWithoutRuns);
}

// Guards against the same with each further takeover.
TEST(CellLongRunningTest, LaterTakeoversDoNotProlongTheWaitForLeases) {
  EXPECT_LT(TimeWithoutRuns({milliseconds(3'000), milliseconds(1'000)}), kMaxTimeWithoutRuns);
  // The first leader was lost before it noticed the loss of the upstream.
  const Duration first = TimeWithoutRuns({milliseconds(100)});
  EXPECT_LT(TimeWithoutRuns({milliseconds(100), milliseconds(1'000), milliseconds(1'000)}),
            first + std::chrono::milliseconds(500));
}

// Guards against an upstream that replies again after its lease bound was recorded and never gets leases any more.
TEST(CellLongRunningTest, UpstreamThatRepliesAgainKeepsItsTasks) {
  SimulatedCluster cluster(2, 2);
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "service", "tasks=4 cpu=1000 lasts");
  cluster.Run(seconds(2));
  for (int round = 0; round < 3; ++round) {
    for (const auto& upstream : cluster.fake_upstreams) upstream->is_reachable = false;
    cluster.Run(seconds(4));
    for (const auto& upstream : cluster.fake_upstreams) upstream->is_reachable = true;
    cluster.Run(seconds(2));
    cluster.Kill(cluster.Leader());
    cluster.Run(seconds(2));
    for (int i = 0; i < 2; ++i) {
      if (!cluster.At(i).is_up) cluster.Restart(i);
    }
    cluster.Run(seconds(8));
  }
  for (const auto& [task, starts] : cluster.history.starts) EXPECT_EQ(starts, 1) << FormatTaskKey(task);
  ExpectNoViolation(cluster);
}

// Guards against long-running tasks that stay on a draining upstream. When it had left, they were not restarted before
// their leases had expired, up to 11 s after a takeover.
TEST(CellLongRunningTest, TasksLeaveDrainingUpstreamInRounds) {
  constexpr int kTasks = 24;
  SimulatedCluster cluster(1, 2);
  cluster.config->queues.front().policy = PolicyConfig{450, 1, 2000};
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "service", "tasks=24 cpu=300 lasts");
  cluster.Run(seconds(2));
  const int draining = cluster.fake_upstreams[0]->running_tasks() == kTasks ? 0 : 1;
  FakeUpstream& upstream = *cluster.fake_upstreams[static_cast<std::size_t>(draining)];
  ASSERT_EQ(upstream.running_tasks(), kTasks);
  upstream.listing().is_draining = true;
  for (int step = 0; step < 300; ++step) {
    cluster.Run(milliseconds(10));
    const auto running = cluster.fake_upstreams[0]->running_tasks() + cluster.fake_upstreams[1]->running_tasks();
    EXPECT_GE(running, kTasks / 2U);
  }
  EXPECT_EQ(upstream.running_tasks(), 0U) << "after the shortest time for which an upstream drains";
  cluster.Run(seconds(1));
  EXPECT_EQ(cluster.fake_upstreams[static_cast<std::size_t>(1 - draining)]->running_tasks(), kTasks);
  ExpectNoViolation(cluster);
}

// Guards against stopping tasks on a draining upstream while no other one has capacity for them.
TEST(CellLongRunningTest, TasksStayOnDrainingUpstreamWithoutCapacityElsewhere) {
  SimulatedCluster cluster(1, 1);
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "service", "tasks=2 cpu=1000 lasts");
  cluster.Run(seconds(1));
  cluster.fake_upstreams[0]->listing().is_draining = true;
  cluster.Run(seconds(2));
  EXPECT_EQ(cluster.fake_upstreams[0]->running_tasks(), 2U);
}

}  // namespace
}  // namespace jaymast
