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

}  // namespace
}  // namespace jaymast
