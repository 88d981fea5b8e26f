#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>

#include "cell_testing/cell_checks.h"
#include "cell_testing/staleness_monitor.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kInstances = 4;
constexpr int kUpstreams = 9;

/// Runs outages of the store of 2 to 20 s, with changes of keys, upstreams and failure domains just after each.
class OutageScheduleTest : public testing::TestWithParam<unsigned> {
 protected:
  int Pick(int bound) { return static_cast<int>(m_random() % static_cast<unsigned>(bound)); }

  /// Begins an outage for all, or for the leader, which ends by itself.
  /// @return its length
  Duration BeginOutage() {
    const Duration length = milliseconds(2'000 + Pick(18'000));
    const StoreFault fault = Pick(3) == 0 ? StoreFault::kRefusing : StoreFault::kNoReply;
    const int leader = Pick(4) == 0 ? m_cluster.Leader() : -1;
    for (int i = 0; i < kInstances; ++i) {
      if (leader >= 0 && i != leader) continue;
      SimulatedCluster::Instance& instance = m_cluster.At(i);
      // Polls of the feeds that wait out the outage, up to the longest limit of a slow link.
      instance.feed_timeout = Pick(2) == 0 ? seconds(8) : milliseconds(100 + Pick(8'000));
      instance.store->fault = Pick(3) == 0 ? StoreFault::kSlow : fault;
      m_cluster.queue.After(milliseconds(1'000), [&instance, fault] { instance.store->fault = fault; });
      m_cluster.queue.After(length, [&instance] { instance.store->fault = StoreFault::kNone; });
    }
    if (Pick(4) == 0) {
      SimulatedCluster::Instance& instance = m_cluster.At(Pick(kInstances));
      m_cluster.queue.After(length - milliseconds(500), [&instance] { instance.is_paused = true; });
      m_cluster.queue.After(length + milliseconds(Pick(2'500)), [&instance] { instance.is_paused = false; });
    }
    return length;
  }

  void ChangeLater(Duration delay, int number) {
    const std::string key = "key" + std::to_string(number);
    m_cluster.queue.After(delay, [this, key] { m_monitor.RevokeKey(key); });
    const int upstream = number;
    m_cluster.queue.After(delay + milliseconds(Pick(3'000)), [this, upstream] { m_monitor.Drain(upstream); });
    const DomainId domain("d" + std::to_string(Pick(3)));
    const Duration out_at = delay + milliseconds(Pick(3'000));
    m_cluster.queue.After(out_at, [this, domain] { m_monitor.TakeOutOfService(domain); });
    m_cluster.queue.After(out_at + seconds(9), [this, domain] { m_monitor.ReturnToService(domain); });
  }

  /// Sends calls with all keys at all instances, also with those that are revoked by then.
  void CallFor(Duration time) {
    for (const Time end = m_cluster.queue.now() + time; m_cluster.queue.now() < end;) {
      const int instance = Pick(kInstances);
      m_cluster.Call(instance, "POST", "job" + std::to_string(m_jobs), JobPayload(), KeyOf(m_jobs));
      ++m_jobs;
      const std::string job = "job" + std::to_string(Pick(m_jobs));
      m_cluster.Call(Pick(kInstances), Pick(2) == 0 ? "GET" : "POST", job, JobPayload(), KeyOf(Pick(m_jobs)));
      m_cluster.Call(Pick(kInstances), "GET", "q/", "", KeyOf(Pick(m_jobs)));
      m_cluster.Run(milliseconds(50 + Pick(150)));
    }
  }

  static std::string KeyOf(int job) { return job % 3 == 0 ? "key" : "key" + std::to_string(job % kRounds); }
  std::string JobPayload() {
    return "tasks=" + std::to_string(1 + Pick(4)) + " ms=" + std::to_string(200 + Pick(1'500));
  }

  static constexpr int kRounds = 4;

  SimulatedCluster m_cluster{kInstances, kUpstreams};
  StalenessMonitor m_monitor{m_cluster};
  std::mt19937 m_random{GetParam()};
  int m_jobs = 0;
};

// Guards against answers and starts by what the leader knew before an outage, and against work that it does not resume.
TEST_P(OutageScheduleTest, NothingStaleIsServedAfterOutages) {
  for (int i = 0; i < kRounds; ++i) m_monitor.AddKey("key" + std::to_string(i));
  m_cluster.Run(seconds(2));
  for (int i = 0; i < kRounds; ++i) {
    CallFor(seconds(2));
    const Duration length = BeginOutage();
    ChangeLater(length + milliseconds(Pick(Pick(2) == 0 ? 500 : 5'000)), i);
    CallFor(length + seconds(9));
  }
  m_cluster.Run(seconds(60));
  for (const std::string& violation : m_monitor.violations) ADD_FAILURE() << violation;
  ExpectNoViolation(m_cluster);
  EXPECT_GT(m_monitor.answers, 0);
  ASSERT_GE(m_cluster.Leader(), 0);
  for (int i = 0; i < m_jobs; ++i) {
    const std::string job = "job" + std::to_string(i);
    if (!m_cluster.submissions.at(job).is_accepted) continue;
    EXPECT_EQ(GetJobState(m_cluster, m_cluster.Leader(), job), "completed") << job;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, OutageScheduleTest, testing::Range(1U, 25U));

}  // namespace
}  // namespace jaymast
