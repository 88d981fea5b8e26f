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

}  // namespace
}  // namespace jaymast
