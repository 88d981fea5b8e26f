#include <gtest/gtest.h>

#include <string>

#include "cell_testing/cell_checks.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Load pattern: 350 upstreams are full and several hundred steps wait for tickets of the policy service.
// Guards against a placement pass that examines every upstream for every waiting step. It took most of the leader's
// processor time, so that clients got no response in time.
TEST(CellOverloadTest, BacklogOfStepsIsPlacedWithBoundedWork) {
  constexpr int kInstances = 30;
  constexpr int kJobs = 600;
  // A check takes about 0.2 us, so this is a tenth of a core.
  constexpr std::uint64_t kMaxChecksPerSecond = 500'000;
  SimulatedCluster cluster(kInstances, 350, 16000);
  cluster.config->queues.front().policy = PolicyConfig{17, 0.24, 2500};
  cluster.Run(seconds(2));
  for (int i = 0; i < kJobs; ++i) {
    cluster.Call(i % kInstances, "POST", "job" + std::to_string(i), "tasks=10 cpu=4000 ms=6000");
    cluster.Run(milliseconds(4));
  }
  const Scheduler& scheduler = cluster.At(cluster.Leader()).cell->term()->scheduler();
  EXPECT_GT(scheduler.active_jobs(), 400U);
  const std::uint64_t before = scheduler.placement_checks();
  cluster.Run(seconds(3));
  EXPECT_LT(scheduler.placement_checks() - before, 3 * kMaxChecksPerSecond);
  ExpectNoViolation(cluster);
}

// Load pattern: 2000 upstreams, of which a few have work, and a takeover that has to sync with all of them.
// Guards against syncs that open a connection to every upstream at once and are not handled before their timeouts, and
// against a sync rate that grows with the number of upstreams.
TEST(CellOverloadTest, ManyUpstreamsAreSyncedWithBoundedEffort) {
  constexpr int kUpstreams = 2000;
  constexpr int kMaxOpenSyncs = 256;
  constexpr int kMaxSyncsPerSecond = 1000;
  SimulatedCluster cluster(3, kUpstreams, 16000);
  cluster.Run(seconds(3));
  for (int i = 0; i < 20; ++i) cluster.Call(0, "POST", "job" + std::to_string(i), "tasks=4 cpu=4000 ms=4000");
  cluster.Run(seconds(1));
  EXPECT_LE(cluster.max_open_immediate_syncs, kMaxOpenSyncs);
  cluster.syncs = 0;
  cluster.Run(seconds(2));
  EXPECT_LT(cluster.syncs, 2 * kMaxSyncsPerSecond);
  EXPECT_EQ(cluster.At(cluster.Leader()).cell->term()->scheduler().CountUsableUpstreams(), kUpstreams);
  cluster.Kill(cluster.Leader());
  cluster.Run(seconds(2));
  ASSERT_GE(cluster.Leader(), 0);
  EXPECT_EQ(cluster.At(cluster.Leader()).cell->term()->scheduler().CountUsableUpstreams(), kUpstreams);
  cluster.Run(seconds(4));
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(GetJobState(cluster, cluster.Leader(), "job" + std::to_string(i)), "completed");
  }
  for (const auto& [task, starts] : cluster.history.starts) EXPECT_EQ(starts, 1) << FormatTaskKey(task);
  EXPECT_LE(cluster.max_open_immediate_syncs, kMaxOpenSyncs);
  ExpectNoViolation(cluster);
}

}  // namespace
}  // namespace jaymast
