#include <gtest/gtest.h>

#include <chrono>
#include <iostream>
#include <string>

#include "cell/speed_record.h"
#include "cell_testing/cell_checks.h"
#include "cell_testing/mixed_speed_site.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

double RunMixedSpeedSite(const CellOptions& options, const std::string& name) {
  MixedSpeedSite site(options);
  site.Run(seconds(20));
  ExpectNoViolation(site.cluster);
  std::cout << "in time, " << name << ": " << site.ShareInTime() << " of all, " << site.ShareInTime("urgent")
            << " of urgent, " << site.ShareInTime("gangs") << " of gangs, " << site.ShareInTime("batch")
            << " of batch\n";
  return site.ShareInTime();
}

// Guards against urgent work on slow upstreams while others hold the fast ones, and against a learner that does not
// find out which is which while declared run times are wrong.
TEST(CellSpeedTest, PlacementBySpeedCompletesMoreJobsInTime) {
  CellOptions off;
  off.disabled = {CellFeature::kUpstreamSpeeds, CellFeature::kLearnedRunTimes};
  CellOptions speeds_only;
  speeds_only.disabled = {CellFeature::kLearnedRunTimes};
  CellOptions run_times_only;
  run_times_only.disabled = {CellFeature::kUpstreamSpeeds};
  const double without = RunMixedSpeedSite(off, "both off");
  RunMixedSpeedSite(run_times_only, "learned_run_times only");
  const double with_speeds = RunMixedSpeedSite(speeds_only, "upstream_speeds only");
  const double with_both = RunMixedSpeedSite(CellOptions::AllOn(), "both on");
  EXPECT_GT(with_speeds, without + 0.4);
  EXPECT_GT(with_both, without + 0.4);
}

/// Speed of an upstream as the leader knows it.
double SpeedOf(const SimulatedCluster& cluster, const std::string& upstream) {
  const Scheduler& scheduler = cluster.instances[static_cast<std::size_t>(cluster.Leader())]->cell->term()->scheduler();
  return scheduler.speeds().SpeedOf(UpstreamId(upstream));
}

// Guards against a learner that needs ends of single tasks: members of a gang end together, and their progress is the
// only sign of the speeds of their upstreams.
TEST(CellSpeedTest, ProgressOfGangMembersShowsSpeeds) {
  SimulatedCluster cluster(3, 8, 4000);
  for (std::size_t i = 0; i < 4; ++i) cluster.fake_upstreams[i]->speed = 2;
  cluster.Run(seconds(2));
  for (int i = 0; i < 5; ++i) {
    const std::string job = "gang" + std::to_string(i);
    cluster.Call(0, "POST", job, "tasks=8 cpu=4000 ms=4000 gang");
    cluster.Run(seconds(5));
    EXPECT_EQ(GetJobState(cluster, 0, job), "completed");
  }
  for (int i = 0; i < 8; ++i) {
    const std::string id = "u" + std::to_string(i);
    EXPECT_EQ(SpeedOf(cluster, id) > 1, i < 4) << id;
  }
  ExpectNoViolation(cluster);
}

// Guards against a new leader that places urgent work blindly until it has learned the speeds again, and against the
// speed of a machine that was replaced during the takeover.
TEST(CellSpeedTest, NewLeaderKnowsSpeeds) {
  SimulatedCluster cluster(3, 8, 4000);
  for (std::size_t i = 0; i < 4; ++i) cluster.fake_upstreams[i]->speed = 2;
  cluster.Run(seconds(2));
  for (int i = 0; i < 16; ++i) {
    cluster.Call(0, "POST", "job" + std::to_string(i), "tasks=8 cpu=4000 ms=600");
    cluster.Run(milliseconds(900));
  }
  ASSERT_GT(SpeedOf(cluster, "u0"), 1.2);
  cluster.Run(seconds(3));
  const int old_leader = cluster.Leader();
  cluster.fake_upstreams[1]->Restart();
  cluster.Kill(old_leader);
  cluster.Run(seconds(3));
  ASSERT_GE(cluster.Leader(), 0);
  EXPECT_NE(cluster.Leader(), old_leader);
  EXPECT_GT(SpeedOf(cluster, "u0"), 1.2);
  EXPECT_LT(SpeedOf(cluster, "u7"), 0.9);
  EXPECT_EQ(SpeedOf(cluster, "u1"), 1.0);
  ExpectNoViolation(cluster);
}

// Guards against a row in every transaction of a cell whose upstreams are alike.
TEST(CellSpeedTest, NothingIsWrittenWithoutDifferences) {
  SimulatedCluster cluster(3, 8, 4000);
  cluster.Run(seconds(2));
  for (int i = 0; i < 12; ++i) {
    cluster.Call(0, "POST", "job" + std::to_string(i), "tasks=8 cpu=4000 ms=600");
    cluster.Run(milliseconds(900));
  }
  EXPECT_TRUE(cluster.store.Read(kLeaderTable, kSpeedsKey, "", 10).rows.empty());
}

// Guards against speeds learned from runs that were stopped or lost, and against a restarted upstream that keeps the
// speed of its predecessor.
TEST(CellSpeedTest, LostRunsAndRestartsLeaveNoSpeed) {
  SimulatedCluster cluster(3, 4, 4000);
  cluster.fake_upstreams[0]->speed = 3;
  cluster.Run(seconds(2));
  for (int i = 0; i < 8; ++i) {
    cluster.Call(0, "POST", "job" + std::to_string(i), "tasks=4 cpu=4000 ms=500 estimate=500");
    cluster.Run(milliseconds(900));
  }
  EXPECT_GT(SpeedOf(cluster, "u0"), 1.3);
  cluster.Call(0, "POST", "lost", "tasks=4 cpu=4000 ms=3000 estimate=500");
  cluster.Run(milliseconds(300));
  cluster.fake_upstreams[0]->Restart();
  cluster.Run(milliseconds(400));
  EXPECT_EQ(SpeedOf(cluster, "u0"), 1.0);
  cluster.Call(0, "DELETE", "lost");
  cluster.Run(seconds(2));
  EXPECT_EQ(SpeedOf(cluster, "u0"), 1.0);
  ExpectNoViolation(cluster);
}

}  // namespace
}  // namespace jaymast
