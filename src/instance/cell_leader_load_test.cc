#include <gtest/gtest.h>

#include <string>

#include "cell_testing/cell_checks.h"

namespace jaymast {
namespace {

using std::chrono::seconds;

/// A large site with a queue of jobs that need tickets, "/p/", and one of jobs that don't, "/q/".
class CellLeaderLoadTest : public ::testing::Test {
 protected:
  static constexpr int kInstances = 12;
  static constexpr int kUpstreams = 350;
  static constexpr std::int64_t kCpuMillis = 4000;
  static constexpr std::size_t kPayloadBytes = 1200;
  /// A leader ticks again this long after an event.
  static constexpr Duration kLeaderTick{2'000};

  CellLeaderLoadTest() : m_cluster(kInstances, kUpstreams, kCpuMillis) {
    QueueConfig queue = m_cluster.config->queues.front();
    queue.id = QueueId("p");
    queue.prefix = "/p/";
    queue.policy = PolicyConfig{17, 0.24, 2500};
    m_cluster.config->queues.push_back(queue);
  }

  const Scheduler& LeadingScheduler() { return m_cluster.At(m_cluster.Leader()).cell->term()->scheduler(); }

  static std::string JobName(int number) { return (number % 4 == 0 ? "p/job" : "q/job") + std::to_string(number); }

  void Submit(int number) {
    std::string payload = number % 4 == 0 ? "tasks=6 cpu=500 ms=2500 " : m_payload;
    payload.resize(kPayloadBytes, 'x');
    m_cluster.Call(number % kInstances, "POST", JobName(number), payload);
  }

  /// Submits and reads jobs at a constant rate, while the leader also ticks between its regular ticks.
  void RunLoad(Duration time, int submissions_per_second, int reads_per_second) {
    const Time begin = m_cluster.queue.now();
    int submitted = 0;
    int read = 0;
    for (Duration elapsed{}; elapsed < time; elapsed += kLeaderTick) {
      const auto due = [elapsed](int rate) { return static_cast<int>(elapsed.count() * rate / 1'000'000); };
      for (; submitted < due(submissions_per_second); ++submitted) Submit(m_jobs++);
      for (; read < due(reads_per_second); ++read) {
        if (m_jobs > 0) m_cluster.Call(read % kInstances, "GET", JobName(read * 7 % m_jobs));
      }
      m_cluster.queue.RunUntil(begin + elapsed);
      const int leader = m_cluster.Leader();
      const Time now = m_cluster.queue.now();
      if (leader >= 0) m_cluster.At(leader).cell->OnTick(now, ToMillis(now.time_since_epoch()));
    }
  }

  /// Checks the work of placement after a takeover with a backlog.
  void RunBacklogAfterTakeover() {
    constexpr std::uint64_t kMaxChecksPerSecond = 1'000'000;
    constexpr std::uint64_t kMaxStepsPerSecond = 110'000;
    m_cluster.Run(seconds(2));
    RunLoad(seconds(10), 400, 0);
    m_cluster.Kill(m_cluster.Leader());
    m_cluster.Run(seconds(2));
    ASSERT_GE(m_cluster.Leader(), 0);
    EXPECT_GT(LeadingScheduler().known_jobs(), 3500U);
    const std::uint64_t checks_before = LeadingScheduler().placement_checks();
    const std::uint64_t steps_before = LeadingScheduler().step_placements();
    RunLoad(seconds(2), 100, 400);
    EXPECT_GT(LeadingScheduler().waiting_steps(), 1000U);
    EXPECT_LT(LeadingScheduler().placement_checks() - checks_before, 2 * kMaxChecksPerSecond);
    EXPECT_LT(LeadingScheduler().step_placements() - steps_before, 2 * kMaxStepsPerSecond);
    ExpectNoViolation(m_cluster);
  }

  SimulatedCluster m_cluster;
  int m_jobs = 0;
  std::string m_payload = "tasks=2 cpu=1000 ms=4000 ";  ///< of the jobs that need no tickets
};

// Load pattern: a takeover with 4,000 recorded jobs, 1,500 of whose steps wait for full upstreams, then 100 submissions
// and 400 reads a second.
// Guards against placement passes that examine every upstream for every waiting step of a queue without a policy, and
// against a pass over all waiting steps in every tick.
TEST_F(CellLeaderLoadTest, BacklogAfterTakeoverIsPlacedWithBoundedWork) { RunBacklogAfterTakeover(); }

// Load pattern: the same, with gangs.
// Guards against a placement pass that examines every upstream for every waiting gang.
TEST_F(CellLeaderLoadTest, BacklogOfGangsAfterTakeoverIsPlacedWithBoundedWork) {
  m_payload += "gang ";
  RunBacklogAfterTakeover();
}

}  // namespace
}  // namespace jaymast
