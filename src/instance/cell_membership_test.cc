#include <gtest/gtest.h>

#include <string>

#include "cell_testing/cell_checks.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kManyInstances = 100;

double Followers(SimulatedCluster& cluster) { return cluster.At(cluster.Leader()).cell->Gauges()["jaymast_followers"]; }

int CountReady(SimulatedCluster& cluster) {
  int ready = 0;
  for (const auto& instance : cluster.instances) ready += instance->is_up && instance->cell->is_ready() ? 1 : 0;
  return ready;
}

// Guards against a leader whose heartbeats and join announcements grow with the number of instances.
TEST(CellMembershipTest, LeaderSendsFewMessagesToManyFollowers) {
  SimulatedCluster cluster(kManyInstances, 2);
  cluster.Run(seconds(5));
  const std::string leader = cluster.At(cluster.Leader()).address;
  cluster.peer_messages.clear();
  cluster.Run(seconds(2));
  int received_from_followers = 0;
  for (const auto& [address, count] : cluster.peer_messages) {
    if (address != leader) received_from_followers += count;
  }
  EXPECT_LT(cluster.peer_messages[leader], 2 * kManyInstances);
  // Nothing but forwarded heartbeats: one for each follower and interval of 150 ms.
  EXPECT_LT(received_from_followers, 2 * kManyInstances * 7);
  EXPECT_EQ(Followers(cluster), kManyInstances - 1);
  EXPECT_EQ(CountReady(cluster), kManyInstances);
}

// Guards against followers that lose the leader because the instance that forwards its heartbeats has crashed.
TEST(CellMembershipTest, GroupsSurviveTheLossOfTheirForwarders) {
  SimulatedCluster cluster(kManyInstances, 2);
  cluster.Run(seconds(5));
  const int leader = cluster.Leader();
  constexpr int kKilled = 20;
  for (int i = 0, killed = 0; killed < kKilled; i += 4) {
    if (i == leader) continue;
    cluster.Kill(i);
    ++killed;
  }
  for (int step = 0; step < 30; ++step) {
    cluster.Run(milliseconds(100));
    EXPECT_EQ(CountReady(cluster), kManyInstances - kKilled) << step;
  }
  EXPECT_EQ(cluster.Leader(), leader);
  EXPECT_EQ(Followers(cluster), kManyInstances - kKilled - 1);
}

}  // namespace
}  // namespace jaymast
