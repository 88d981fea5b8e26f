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

/// Upstreams with 8 cores each, and one more organisation.
class WaitingGangTest : public testing::Test {
 protected:
  WaitingGangTest() : cluster(1, 4) {
    cluster.config->teams[TeamId("other")] = TeamConfig{TeamId("other"), 1000, {}};
    cluster.config->team_of_key["other"] = TeamId("other");
    cluster.Run(seconds(2));
  }

  /// Submits work whose objective is later than that of a gang of 3 s, and expects it to start although the gang waits.
  void ExpectLaterWorkStarts() {
    cluster.Run(seconds(2));
    cluster.Call(0, "POST", "later", "tasks=4 cpu=1000 ms=5000", "other");
    cluster.Run(milliseconds(500));
    EXPECT_EQ(cluster.LastStatus("POST later"), kAccepted);
    EXPECT_EQ(CountStarts("later"), 4);
    ExpectNoViolation(cluster);
  }

  int CountStarts(const std::string& job) const {
    int starts = 0;
    for (const auto& [task, count] : cluster.history.starts) starts += task.job == JobId(job) ? count : 0;
    return starts;
  }

  SimulatedCluster cluster;
};

// Guards against reserving all upstreams for a gang whose members fit on none.
TEST_F(WaitingGangTest, GangOfTooLargeMembersBlocksNoOtherWork) {
  cluster.Call(0, "POST", "gang", "tasks=2 cpu=10000 ms=3000 gang");
  ExpectLaterWorkStarts();
}

// Guards against reserving all upstreams for a gang with more members than fit on them together.
TEST_F(WaitingGangTest, GangOfTooManyMembersBlocksNoOtherWork) {
  cluster.Call(0, "POST", "gang", "tasks=5 cpu=8000 ms=3000 gang");
  ExpectLaterWorkStarts();
}

// Guards against reserving upstreams for a gang that waits for the limit of its organisation, not for capacity.
TEST_F(WaitingGangTest, GangAboveLimitOfOrganisationBlocksNoOtherWork) {
  cluster.config->teams[TeamId("team")].limit.cpu_millis = 24'000;
  cluster.config->version = 2;
  cluster.Run(seconds(1));
  cluster.Call(0, "POST", "gang", "tasks=4 cpu=8000 ms=3000 gang");
  ExpectLaterWorkStarts();
}

// Guards against reserving the rest of upstreams on which long-running tasks leave no space for the gang.
TEST_F(WaitingGangTest, GangBesideLongRunningTasksBlocksNoOtherWork) {
  cluster.Call(0, "POST", "service", "tasks=4 cpu=5000 lasts");
  cluster.Run(seconds(1));
  cluster.Call(0, "POST", "gang", "tasks=4 cpu=6000 ms=3000 gang");
  ExpectLaterWorkStarts();
}

// Guards against refusing work as overload because of waiting work that can't take up any capacity.
TEST_F(WaitingGangTest, WorkThatFitsNowhereIsNoOverload) {
  cluster.Call(0, "POST", "gang", "tasks=40 cpu=10000 ms=60000 gang");
  cluster.Call(0, "POST", "tasks", "tasks=40 cpu=10000 ms=60000");
  ExpectLaterWorkStarts();
}

// Guards against a gang that never gets the upstreams that it needs at the same time beside a stream of small tasks.
TEST_F(WaitingGangTest, GangThatFitsGetsUpstreamsReserved) {
  for (int i = 0; i < 32; ++i) {
    cluster.Call(0, "POST", "first" + std::to_string(i), "tasks=1 cpu=1000 ms=" + std::to_string(1'000 + 60 * i));
  }
  cluster.Run(milliseconds(100));
  cluster.Call(0, "POST", "gang", "tasks=4 cpu=8000 ms=3000 gang", "other");
  for (int i = 0; i < 80; ++i) {
    cluster.Run(milliseconds(100));
    cluster.Call(0, "POST", "small" + std::to_string(i), "tasks=1 cpu=1000 ms=4000");
  }
  EXPECT_EQ(CountStarts("gang"), 4);
  ExpectNoViolation(cluster);
}

}  // namespace
}  // namespace jaymast
