#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "cell_testing/cell_checks.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Payload of a gang whose members fill one upstream each, so that all of them run on unlike upstreams.
constexpr const char* kOneMemberPerUpstream = "tasks=3 cpu=6000 ms=3000 gang";

std::int32_t HighestRun(const SimulatedCluster& cluster) {
  std::int32_t highest = 0;
  for (const auto& [task, runs] : cluster.history.runs) highest = std::max(highest, *runs.rbegin());
  return highest;
}

/// Index of the upstream that runs a member of the gang, or -1.
int FindBusyUpstream(const SimulatedCluster& cluster) {
  for (std::size_t i = 0; i < cluster.fake_upstreams.size(); ++i) {
    if (cluster.fake_upstreams[i]->running_tasks() > 0) return static_cast<int>(i);
  }
  return -1;
}

// Guards against stopping a gang whose fast members wait at 100 percent while a slow member still works.
TEST(CellGangTest, GangOnUnlikeUpstreamsIsNotStopped) {
  SimulatedCluster cluster(1, 3);
  cluster.fake_upstreams[2]->slowdown = 4;
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "job1", kOneMemberPerUpstream);
  cluster.Run(milliseconds(12'600));
  EXPECT_EQ(GetJobState(cluster, 0, "job1"), "completed");
  EXPECT_EQ(HighestRun(cluster), 1);
  ExpectNoViolation(cluster);
}

// Guards against a gang that waits forever for a member that stands still, or returns to the same upstream.
TEST(CellGangTest, GangLeavesUpstreamWhereItsMemberStandsStill) {
  SimulatedCluster cluster(1, 4);
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "job1", kOneMemberPerUpstream);
  cluster.Run(milliseconds(100));
  const int still = FindBusyUpstream(cluster);
  ASSERT_GE(still, 0);
  FakeUpstream& upstream = *cluster.fake_upstreams[static_cast<std::size_t>(still)];
  upstream.stands_still = true;
  cluster.Run(milliseconds(3'400));
  EXPECT_EQ(HighestRun(cluster), 2);
  EXPECT_EQ(upstream.running_tasks(), 0U);
  cluster.Run(milliseconds(3'400));
  EXPECT_EQ(GetJobState(cluster, 0, "job1"), "completed");
  ExpectNoViolation(cluster);
}

// Guards against quarantining upstreams whose members only wait for the one that stands still.
TEST(CellGangTest, UpstreamsOfWorkingMembersStayInUse) {
  SimulatedCluster cluster(1, 4);
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "job1", kOneMemberPerUpstream);
  cluster.Run(milliseconds(100));
  const int still = FindBusyUpstream(cluster);
  ASSERT_GE(still, 0);
  cluster.fake_upstreams[static_cast<std::size_t>(still)]->stands_still = true;
  cluster.Run(milliseconds(3'200));
  EXPECT_EQ(cluster.At(0).cell->term()->scheduler().CountUsableUpstreams(), 3U);
}

// Guards against members that resume from different checkpoints: all of one run must carry the same.
TEST(CellGangTest, RestartedGangResumesFromOneCheckpoint) {
  SimulatedCluster cluster(1, 4);
  cluster.fake_upstreams[1]->slowdown = 2;
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "job1", "tasks=3 cpu=6000 ms=6000 gang");
  cluster.Run(milliseconds(2'000));
  const int still = FindBusyUpstream(cluster);
  ASSERT_GE(still, 0);
  cluster.fake_upstreams[static_cast<std::size_t>(still)]->stands_still = true;
  cluster.Run(milliseconds(4'000));
  ASSERT_EQ(HighestRun(cluster), 2);
  for (const auto& [gang_run, checkpoints] : cluster.history.gang_checkpoints) {
    EXPECT_EQ(checkpoints.size(), 1U) << "run " << gang_run.second;
    EXPECT_EQ(checkpoints.begin()->empty(), gang_run.second == 1) << "run " << gang_run.second;
  }
}

}  // namespace
}  // namespace jaymast
