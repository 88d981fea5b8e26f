#include <gtest/gtest.h>

#include <string>

#include "cell_testing/cell_checks.h"

namespace jaymast {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

int CountStarts(const SimulatedCluster& cluster) {
  int starts = 0;
  for (const auto& [task, count] : cluster.history.starts) starts += count;
  return starts;
}

struct LongTask {
  const char* name;
  const char* payload;
  Duration run_time;
};

class LongTaskTest : public testing::TestWithParam<LongTask> {};

// Guards against stopping a task whose progress, a whole percentage, changes more slowly than that of short tasks. It
// could never end, and each of its upstreams was kept from all work.
TEST_P(LongTaskTest, TaskThatWorksIsNotStopped) {
  SimulatedCluster cluster(1, 2);
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "job1", GetParam().payload);
  cluster.Run(GetParam().run_time + minutes(1));
  EXPECT_EQ(CountStarts(cluster), static_cast<int>(cluster.history.starts.size()));
  EXPECT_EQ(GetJobState(cluster, 0, "job1"), "completed");
  EXPECT_EQ(cluster.At(0).cell->term()->scheduler().CountUsableUpstreams(), 2U);
}

// Guards against a task that stands still for good.
TEST_P(LongTaskTest, TaskThatStandsStillIsMoved) {
  SimulatedCluster cluster(1, 2);
  cluster.fake_upstreams[0]->stands_still = true;
  cluster.fake_upstreams[1]->stands_still = true;
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "job1", GetParam().payload);
  cluster.Run(GetParam().run_time / 10);
  EXPECT_GE(CountStarts(cluster), 2);
}

INSTANTIATE_TEST_SUITE_P(Tasks, LongTaskTest,
                         testing::Values(LongTask{"ten_minutes", "tasks=1 ms=600000", minutes(10)},
                                         LongTask{"one_hour", "tasks=1 ms=3600000", minutes(60)},
                                         LongTask{"gang_of_one_hour", "tasks=3 cpu=3000 ms=3600000 gang", minutes(60)}),
                         [](const auto& info) { return std::string(info.param.name); });

// Guards against a task that can never end because its estimate is far too low.
TEST(CellStallTest, TaskWithLowEstimateEnds) {
  SimulatedCluster cluster(1, 2);
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "job1", "tasks=1 ms=600000 estimate=5000");
  cluster.Run(minutes(12));
  EXPECT_EQ(GetJobState(cluster, 0, "job1"), "completed");
}

}  // namespace
}  // namespace jaymast
