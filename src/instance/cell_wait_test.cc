#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "cell_testing/cell_checks.h"

namespace jaymast {
namespace {

using std::chrono::seconds;

/// A condition that keeps a job from running, and the reason that the event has to give.
struct WaitCase {
  std::string reason;
  std::string payload;
  std::function<void(SimulatedCluster&)> prepare;
};

class WaitReasonTest : public testing::TestWithParam<WaitCase> {};

// Guards against waiting steps that leave no line in the log, or one with a wrong reason.
TEST_P(WaitReasonTest, IsReported) {
  // Admission by cause refuses jobs that no upstream can run.
  SimulatedCluster cluster(3, 2, 8000, CellOptions{{CellFeature::kAdmissionByCause}});
  cluster.config->queues.front().policy = PolicyConfig{20, 1, 2000};
  GetParam().prepare(cluster);
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "job", GetParam().payload);
  cluster.Run(seconds(4));
  EXPECT_GE(cluster.events.Count("step.waiting", GetParam().reason), 1);
}

INSTANTIATE_TEST_SUITE_P(
    Reasons, WaitReasonTest,
    testing::Values(WaitCase{"team_limit", "cpu=2000",
                             [](SimulatedCluster& cluster) {
                               cluster.config->teams[TeamId("team")].limit = Resources{1000, 0, 0, 0};
                             }},
                    WaitCase{"denied", "", [](SimulatedCluster& cluster) { cluster.policy_service.allowed_share = 0; }},
                    WaitCase{"no_capacity", "cpu=9000", [](SimulatedCluster&) {}},
                    WaitCase{"policy_call", "",
                             [](SimulatedCluster& cluster) {
                               cluster.policy_service.extra_delay = [] { return Duration(seconds(100)); };
                             }},
                    WaitCase{"no_upstream", "",
                             [](SimulatedCluster& cluster) {
                               cluster.config->queues.front().service = ServiceId("other");
                             }}),
    [](const auto& info) { return info.param.reason; });

}  // namespace
}  // namespace jaymast
