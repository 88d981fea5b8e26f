#include <gtest/gtest.h>

#include <string>

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
  upstream.Fail(task);
  // One batch task may take the freed upstream before the end of the long-running one is known.
  cluster.Run(milliseconds(2'500));
  EXPECT_EQ(cluster.history.running[task], 1);
  ExpectNoViolation(cluster);
}

}  // namespace
}  // namespace jaymast
