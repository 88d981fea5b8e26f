#include <gtest/gtest.h>

#include "cell_testing/cell_checks.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr LeaderFitness kFit{.cpu_millis = 500, .link_mbps = 200};
constexpr LeaderFitness kShortOfLink{.cpu_millis = 500, .link_mbps = 10};
constexpr LeaderFitness kShortOfProcessor{.cpu_millis = 90, .link_mbps = 10};

/// Instances 0 to 2 are short of processor, 3 to 5 short of link bandwidth, 6 and 7 are fit.
class CellLeaderChoiceTest : public testing::Test {
 protected:
  static constexpr int kInstances = 8;

  CellLeaderChoiceTest() {
    for (int i = 0; i < kInstances; ++i) {
      m_cluster.SetFitness(i, i < 3 ? kShortOfProcessor : (i < 6 ? kShortOfLink : kFit));
    }
  }

  /// Runs the cluster and fails if an instance of a lower class leads.
  void RunExpectingLeaderOfClass(LeaderClass lowest, Duration time) {
    const Time end = m_cluster.queue.now() + time;
    while (m_cluster.queue.now() < end) {
      m_cluster.Run(milliseconds(10));
      for (const auto& instance : m_cluster.instances) {
        if (!instance->is_up || !instance->cell->is_leader()) continue;
        ASSERT_GE(instance->fitness.GetClass(), lowest)
            << instance->address << " leads at " << ToMillis(m_cluster.queue.now().time_since_epoch()) << " ms";
      }
    }
  }

  SimulatedCluster m_cluster{kInstances, 4};
};

// Guards against a leader on a slow link while fit instances are alive, and against a cell without a leader when all
// fit ones are down.
TEST_F(CellLeaderChoiceTest, LeaderIsOfTheFittestClassAlive) {
  RunExpectingLeaderOfClass(LeaderClass::kFit, seconds(4));
  ASSERT_GE(m_cluster.Leader(), 6);
  m_cluster.Kill(m_cluster.Leader());
  RunExpectingLeaderOfClass(LeaderClass::kFit, seconds(4));
  ASSERT_GE(m_cluster.Leader(), 6);
  m_cluster.Kill(m_cluster.Leader());
  RunExpectingLeaderOfClass(LeaderClass::kShortOfLink, milliseconds(1200));
  EXPECT_GE(m_cluster.Leader(), 3);
}

// Guards against a random leader after all instances were killed at once.
TEST_F(CellLeaderChoiceTest, FitInstanceLeadsAfterRestartOfAll) {
  m_cluster.Run(seconds(4));
  for (int i = 0; i < kInstances; ++i) m_cluster.Kill(i);
  m_cluster.Run(seconds(2));
  for (int i = 0; i < kInstances; ++i) m_cluster.Restart(i);
  RunExpectingLeaderOfClass(LeaderClass::kFit, milliseconds(1500));
  EXPECT_GE(m_cluster.Leader(), 6);
}

// Guards against a leader on a slow link that stays when a fit instance has joined.
TEST_F(CellLeaderChoiceTest, LeaderYieldsToInstanceOfHigherClass) {
  m_cluster.Kill(6);
  m_cluster.Kill(7);
  m_cluster.Run(seconds(4));
  const int leader = m_cluster.Leader();
  ASSERT_GE(leader, 3);
  m_cluster.Restart(7);
  m_cluster.Run(seconds(3));
  EXPECT_EQ(m_cluster.Leader(), 7);
}

// Guards against a leader that hands over again and again to a fit instance that does not reach the store.
TEST_F(CellLeaderChoiceTest, SuccessorWithoutStoreCostsOneHandover) {
  m_cluster.Kill(6);
  m_cluster.Kill(7);
  m_cluster.Run(seconds(4));
  ASSERT_GE(m_cluster.Leader(), 3);
  // The next leader is too young to yield when instance 7 joins.
  m_cluster.Kill(m_cluster.Leader());
  m_cluster.Run(milliseconds(400));
  m_cluster.Restart(7);
  while (m_cluster.Leader() < 0 || m_cluster.At(m_cluster.Leader()).cell->Gauges()["jaymast_followers"] < 5) {
    ASSERT_LT(m_cluster.queue.now(), Time{} + seconds(8));
    m_cluster.Run(milliseconds(10));
  }
  ASSERT_NE(m_cluster.Leader(), 7);
  m_cluster.At(7).store->fault = StoreFault::kRefusing;
  m_cluster.Run(seconds(9));
  EXPECT_GE(m_cluster.Leader(), 3);
  EXPECT_EQ(m_cluster.events.Count("term.ended", "handed over"), 1);
}

/// Time from the kill of the leader to the next leader, in a cell of equal instances.
Duration MeasureTakeover(LeaderFitness fitness, Duration phase) {
  SimulatedCluster cluster(4, 2);
  for (int i = 0; i < 4; ++i) cluster.SetFitness(i, fitness);
  cluster.Run(seconds(4) + phase);
  const int leader = cluster.Leader();
  EXPECT_GE(leader, 0);
  if (leader < 0) return seconds(10);
  cluster.Kill(leader);
  const Time killed_at = cluster.queue.now();
  while (cluster.Leader() < 0 && cluster.queue.now() - killed_at < seconds(10)) cluster.Run(milliseconds(10));
  return cluster.queue.now() - killed_at;
}

// Guards against instances that wait for fitter ones that do not exist.
TEST(CellTakeoverTimeTest, EqualInstancesDoNotWaitForFitterOnes) {
  for (const LeaderFitness& fitness : {kFit, kShortOfLink, kShortOfProcessor}) {
    // The kill falls at different times of the heartbeats and reads.
    for (int phase_ms = 0; phase_ms < 500; phase_ms += 50) {
      EXPECT_LT(MeasureTakeover(fitness, milliseconds(phase_ms)), milliseconds(900)) << phase_ms;
    }
  }
}

}  // namespace
}  // namespace jaymast
