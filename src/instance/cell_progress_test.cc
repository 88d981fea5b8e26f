#include <gtest/gtest.h>

#include <string>

#include "cell_testing/cell_checks.h"
#include "cell_testing/policy_workload.h"
#include "cell_testing/progress_monitor.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kInstances = 8;

void ExpectProgress(const ProgressMonitor& monitor) {
  for (const std::string& violation : monitor.violations) ADD_FAILURE() << violation;
}

/// A cell with the queues, organisations and upstreams of the workload, whose upstreams have replied to the leader.
class ProgressTest : public testing::Test {
 protected:
  ProgressTest() : m_workload(m_cluster, 1), m_monitor(m_cluster) {
    m_cluster.run_fails = nullptr;
    m_cluster.Run(seconds(2));
  }

  SimulatedCluster m_cluster{kInstances, PolicyWorkload::kUpstreams, PolicyWorkload::kUpstreamCpuMillis};
  PolicyWorkload m_workload;
  ProgressMonitor m_monitor;
};

// Guards against policy calls for steps that their organisation's limit holds back, which left none for other steps.
TEST_F(ProgressTest, StepsAtTheLimitDoNotTakePolicyCallsFromOthers) {
  constexpr int kHeldBack = 60;
  m_cluster.config->teams[TeamId("team0")].limit = Resources{10'000, 0, 0, 0};
  ++m_cluster.config->version;
  m_cluster.Run(milliseconds(500));
  for (int i = 0; i < kHeldBack; ++i) {
    m_cluster.Call(i % kInstances, "POST", "gangs/held" + std::to_string(i), "tasks=5 cpu=9000 mem=34000 ms=6000 gang",
                   "key0");
  }
  m_cluster.Run(seconds(1));
  for (int i = 0; i < 5; ++i) {
    m_cluster.Call(i, "POST", "batch/job" + std::to_string(i), "tasks=10 cpu=1800 mem=6600 ms=3400", "key1");
  }
  m_cluster.Run(seconds(20));
  ExpectProgress(m_monitor);
}

// Guards against two calls at a time for one step while replies are on time.
TEST(LongWaitTest, StepThatWaitsLongMakesOneCallAtATime) {
  // Admission by cause refuses tasks above the limit of their organisation.
  SimulatedCluster cluster(kInstances, PolicyWorkload::kUpstreams, PolicyWorkload::kUpstreamCpuMillis,
                           CellOptions{{CellFeature::kAdmissionByCause}});
  const PolicyWorkload workload(cluster, 1);
  cluster.run_fails = nullptr;
  cluster.Run(seconds(2));
  cluster.config->teams[TeamId("team0")].limit = Resources{10'000, 0, 0, 0};
  ++cluster.config->version;
  cluster.Run(milliseconds(500));
  for (int i = 0; i < 4; ++i) {
    cluster.Call(i, "POST", "batch/held" + std::to_string(i), "tasks=10 cpu=11000 mem=100 ms=3400", "key0");
  }
  cluster.Run(seconds(10));
  EXPECT_EQ(cluster.policy_service.max_open_calls_of_step, 1);
}

// Guards against policy calls for gangs that no upstreams have capacity for, which left none for other steps.
TEST_F(ProgressTest, GangsWithoutCapacityDoNotTakePolicyCallsFromOthers) {
  constexpr int kTooWide = 40;
  for (int i = 0; i < kTooWide; ++i) {
    // Each member fits on an upstream, but not all of them on those that the policy allows.
    m_cluster.Call(i % kInstances, "POST", "gangs/wide" + std::to_string(i), "tasks=26 cpu=1000 mem=68000 ms=6000 gang",
                   "key" + std::to_string(i % PolicyWorkload::kTeams));
  }
  m_cluster.Run(seconds(1));
  for (int i = 0; i < 5; ++i) {
    m_cluster.Call(i, "POST", "batch/job" + std::to_string(i), "tasks=10 cpu=1800 mem=6600 ms=3400", "key1");
  }
  m_cluster.Run(seconds(20));
  ExpectProgress(m_monitor);
}

// Guards against calls that are given up while the policy service still handles them, so that none is ever answered.
TEST_F(ProgressTest, LatePolicyRepliesAreUsed) {
  m_cluster.policy_service.extra_delay = [] { return milliseconds(600); };
  for (int i = 0; i < 3; ++i) {
    m_cluster.Call(i, "POST", "gangs/gang" + std::to_string(i), "tasks=5 cpu=9000 mem=34000 ms=6000 gang", "key0");
    m_cluster.Call(i, "POST", "batch/job" + std::to_string(i), "tasks=10 cpu=1800 mem=6600 ms=3400", "key1");
    m_cluster.Call(i, "POST", "previews/job" + std::to_string(i + 3), "tasks=2 cpu=2600 mem=7300 ms=1000", "key2");
  }
  m_cluster.Run(seconds(20));
  ExpectProgress(m_monitor);
}

// Guards against tickets for upstreams that are reserved for a gang, which kept a step from asking for others.
TEST(ReservedUpstreamsTest, StepAsksForUpstreamsThatAreNotReserved) {
  SimulatedCluster cluster(kInstances, 12, PolicyWorkload::kUpstreamCpuMillis);
  PolicyWorkload workload(cluster, 1);
  cluster.run_fails = nullptr;
  cluster.policy_service.allowed_share = 1.0;
  cluster.policy_service.ticket_ms = 10'000;
  for (auto& [id, team] : cluster.config->teams) team.limit = {};
  cluster.Run(seconds(2));
  ProgressMonitor monitor(cluster);
  cluster.Call(0, "POST", "filler", "tasks=4 cpu=17000 ms=30000", "key0");
  cluster.Run(seconds(1));
  // Needs ten whole upstreams, of which the filler occupies two.
  cluster.Call(1, "POST", "gangs/gang", "tasks=20 cpu=16000 ms=20000 gang", "key1");
  cluster.Run(seconds(3));
  cluster.Call(2, "POST", "batch/job", "tasks=1 cpu=1000 ms=1000", "key2");
  cluster.Run(seconds(10));
  ExpectProgress(monitor);
}

}  // namespace
}  // namespace jaymast
