#include <gtest/gtest.h>

#include <iostream>
#include <memory>

#include "cell_testing/cell_checks.h"
#include "cell_testing/policy_load_simulation.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::unique_ptr<PolicyLoadSimulation> RunLoad(const CellOptions& options) {
  PolicyLoadSimulation::Settings settings;
  settings.rate = 1.3;
  settings.options = options;
  auto simulation = std::make_unique<PolicyLoadSimulation>(settings);
  simulation->Run(seconds(25));
  return simulation;
}

// Load pattern: 38 instances, 350 upstreams and 1.3 times the regular rate of jobs, so that calls and capacity are
// scarce.
// Guards against calls for steps that can't start, which take the instances from those that can.
TEST(CellPolicyCallsTest, PlanningUsesFewerCallsAndServesMoreInTime) {
  const auto planned = RunLoad(CellOptions::AllOn());
  const auto unplanned = RunLoad({{CellFeature::kPolicyPlanning}});
  std::cout << "policy_planning on:  " << planned->Report() << "\n";
  std::cout << "policy_planning off: " << unplanned->Report() << "\n";
  EXPECT_LT(planned->calls_while_submitting, unplanned->calls_while_submitting * 9 / 10);
  EXPECT_GT(planned->Value(), unplanned->Value());
  ExpectNoViolation(planned->cluster());
  ExpectNoViolation(unplanned->cluster());
}

// Guards against an upstream that counts as denied for good because it was not ready when the service was asked.
TEST(CellPolicyCallsTest, UpstreamThatWasNotReadyIsNotDenied) {
  SimulatedCluster cluster(3, 1);
  cluster.config->queues.front().policy = PolicyConfig{300, 1, 2000};
  cluster.Run(seconds(2));
  bool is_ready = true;
  const auto incarnation_of = cluster.policy_service.incarnation_of;
  cluster.policy_service.incarnation_of = [&](const UpstreamId& id) { return is_ready ? incarnation_of(id) : 0; };
  cluster.Call(0, "POST", "job");
  cluster.Run(milliseconds(50));
  ASSERT_EQ(cluster.policy_service.calls, 1);
  is_ready = false;
  cluster.fake_upstreams.front()->is_reachable = false;
  cluster.Run(milliseconds(500));
  is_ready = true;
  cluster.fake_upstreams.front()->is_reachable = true;
  cluster.Run(seconds(5));
  EXPECT_EQ(GetJobState(cluster, cluster.Leader(), "job"), "completed");
  ExpectNoViolation(cluster);
}

}  // namespace
}  // namespace jaymast
