#include <gtest/gtest.h>

#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>

#include "cell_testing/cell_checks.h"
#include "cell_testing/progress_monitor.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Gangs over most of a small service, beside small jobs whose declared run times are wrong by a factor of up to 8.
class ReservationSchedule {
 public:
  explicit ReservationSchedule(unsigned seed)
      : m_random(seed), m_cluster(3, static_cast<int>(Draw(3, 8))), m_monitor(m_cluster) {
    QueueConfig low = m_cluster.config->queues.front();
    low.id = QueueId("low");
    low.prefix = "/low/";
    low.priority = 1;
    m_cluster.config->queues.push_back(low);
    m_cluster.config->teams[TeamId("other")] = TeamConfig{TeamId("other"), 1000, {}};
    m_cluster.config->team_of_key["other"] = TeamId("other");
    m_has_faults = Draw(0, 1) == 1;
    m_cluster.Run(seconds(2));
  }

  void Play() {
    const Time traffic_ends_at = m_cluster.queue.now() + seconds(60);
    while (m_cluster.queue.now() < traffic_ends_at) {
      SubmitOne();
      if (m_has_faults && Draw(0, 99) == 0) CauseFault();
      m_cluster.Run(milliseconds(Draw(50, 900)));
    }
    m_cluster.Run(seconds(400));
  }

  void ExpectAllEnded() {
    for (const std::string& violation : m_monitor.violations) ADD_FAILURE() << violation;
    ExpectNoViolation(m_cluster);
    for (const auto& [id, submission] : m_cluster.submissions) {
      if (!submission.is_accepted) continue;
      const StepSpec& step = submission.spec.steps.front();
      std::int64_t done = 0;
      for (std::int64_t i = 0; i < step.task_count; ++i) {
        done += m_cluster.history.done.contains(TaskKey{JobId(id), 0, 0, static_cast<std::size_t>(i)}) ? 1 : 0;
      }
      // The end of one member of a gang stands for all.
      EXPECT_GE(done, step.is_gang ? 1 : step.task_count) << id;
    }
  }

 private:
  std::int64_t Draw(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
  }

  void SubmitOne() {
    const std::string id = std::to_string(++m_jobs);
    const auto upstreams = static_cast<std::int64_t>(m_cluster.fake_upstreams.size());
    const std::int64_t run_ms = Draw(1, 8) == 1 ? Draw(5'000, 40'000) : Draw(200, 5'000);
    const std::string times = " ms=" + std::to_string(run_ms) +
                              " estimate=" + std::to_string(std::max<std::int64_t>(50, run_ms / Draw(1, 8)));
    const int instance = static_cast<int>(Draw(0, 2));
    if (Draw(1, 12) == 1) {
      const std::string members =
          "tasks=" + std::to_string(Draw(2, upstreams)) + " cpu=" + std::to_string(Draw(3, 8) * 1000);
      return m_cluster.Call(instance, "POST", "gang" + id, members + times + " gang");
    }
    const std::string tasks = "tasks=" + std::to_string(Draw(1, 4)) + " cpu=" + std::to_string(Draw(1, 6) * 500);
    m_cluster.Call(instance, "POST", (Draw(0, 2) == 0 ? "q/job" : "low/job") + id, tasks + times,
                   Draw(0, 1) == 0 ? "key" : "other");
  }

  void CauseFault() {
    const auto upstream =
        static_cast<std::size_t>(Draw(0, static_cast<std::int64_t>(m_cluster.fake_upstreams.size()) - 1));
    m_monitor.OnFault();
    if (Draw(0, 1) == 0) {
      m_cluster.fake_upstreams[upstream]->Restart();
    } else if (const int leader = m_cluster.Leader(); leader >= 0) {
      m_cluster.Kill(leader);
      m_cluster.Run(seconds(2));
      m_cluster.Restart(leader);
    }
    // The leases of lost work last 11 s.
    m_cluster.Run(seconds(8));
    m_monitor.OnFault();
  }

  std::mt19937 m_random;
  SimulatedCluster m_cluster;
  ProgressMonitor m_monitor;
  bool m_has_faults = false;
  int m_jobs = 0;
};

class ReservationScheduleTest : public testing::TestWithParam<unsigned> {};

// Guards against jobs that stand still, never end, or run twice at a time because of reserved capacity that others use.
TEST_P(ReservationScheduleTest, AllJobsEnd) {
  ReservationSchedule schedule(GetParam());
  schedule.Play();
  schedule.ExpectAllEnded();
}

INSTANTIATE_TEST_SUITE_P(Seeds, ReservationScheduleTest, testing::Range(1U, 13U));

}  // namespace
}  // namespace jaymast
