#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cell_testing/simulated_cluster.h"

namespace jaymast {

/// Load under which policy calls are scarce: gangs with calls of 455 ms and 6.5 ms for each upstream, batch steps with
/// 169 ms and 2.3 ms, and urgent jobs, on full upstreams of 16 cores. A scale of 1 is a site of 350 upstreams and 38
/// instances; a smaller one has fewer of both and fewer jobs of the same size.
class PolicyLoadSimulation {
 public:
  struct Settings {
    double scale = 1;
    double rate = 1;  ///< multiple of the regular rate of jobs
    double allowed_share = 0.5;
    unsigned seed = 1;
    CellOptions options;
  };

  /// Jobs of one queue.
  struct Count {
    int submitted = 0;
    int accepted = 0;
    int in_time = 0;
    int within_three_times = 0;  ///< complete within three times the objective, and not in time
    int calls = 0;               ///< to the policy service
    std::int64_t called_ms = 0;  ///< expected duration of all calls
  };

  explicit PolicyLoadSimulation(const Settings& settings)
      : m_settings(settings),
        m_random(settings.seed),
        m_cluster(Scaled(kInstances), Scaled(kUpstreams), kUpstreamCpuMillis, settings.options) {
    for (const Kind& kind : kKinds) AddQueue(kind);
    for (int i = 0; i < kTeams; ++i) {
      const TeamId team(fmt::format("team{}", i));
      m_cluster.config->teams[team] = TeamConfig{team, 100, {}};
      m_cluster.config->team_of_key[fmt::format("key{}", i)] = team;
    }
    for (const auto& upstream : m_cluster.fake_upstreams) upstream->listing().capacity.memory_mb = kUpstreamMemoryMb;
    m_cluster.policy_service.allowed_share = settings.allowed_share;
    m_cluster.policy_service.ticket_ms = kTicketMs;
    m_cluster.policy_service.on_call = [this](const PolicyRequest& request) {
      Count& count = counts[m_queue_of_job.at(request.job.value())];
      ++count.calls;
      count.called_ms += request.expected_ms;
    };
    m_cluster.Run(std::chrono::seconds(2));
  }

  /// Submits jobs for `time`, and waits until the last of them can no longer be of use.
  void Run(Duration time) {
    const Time end = m_cluster.queue.now() + time;
    Time next = m_cluster.queue.now();
    while (m_cluster.queue.now() < end) {
      for (; next <= m_cluster.queue.now(); next += TimeToNextJob()) Submit();
      m_cluster.Run(kStep);
      CheckOpenJobs();
    }
    calls_while_submitting = m_cluster.policy_service.calls;
    while (!m_open.empty()) {
      m_cluster.Run(kStep);
      CheckOpenJobs();
    }
  }

  SimulatedCluster& cluster() { return m_cluster; }

  /// Share of the value: 1 for a job in time, a fifth within three times its objective.
  double Value() const {
    double value = 0;
    int submitted = 0;
    for (const auto& [queue, count] : counts) {
      value += count.in_time + 0.2 * count.within_three_times;
      submitted += count.submitted;
    }
    return submitted == 0 ? 0 : value / submitted;
  }

  std::string Report() const {
    std::string text = fmt::format("value {:.3f}, {} calls", Value(), calls_while_submitting);
    for (const auto& [queue, count] : counts) {
      text += fmt::format("; {}: {} submitted, {} accepted, {} in time, {} within three times, {} calls of {:.0f} s",
                          queue, count.submitted, count.accepted, count.in_time, count.within_three_times, count.calls,
                          static_cast<double>(count.called_ms) / 1000);
    }
    return text;
  }

  std::map<std::string, Count> counts;  ///< by queue
  int calls_while_submitting = 0;

 private:
  struct Kind {
    const char* queue;
    double jobs_per_second;
    double steps;
    double tasks;
    double run_ms;
    double cpu_millis;
    double stretch;
    std::int64_t priority;
    double call_ms;
    double per_upstream_ms;
    bool is_gang;
  };
  static constexpr int kInstances = 38;
  static constexpr int kUpstreams = 350;
  static constexpr int kTeams = 20;
  static constexpr std::int64_t kUpstreamCpuMillis = 16'000;
  static constexpr std::int64_t kUpstreamMemoryMb = 64'000;
  static constexpr std::int64_t kTicketMs = 2500;
  static constexpr Duration kStep{20'000};
  static constexpr std::array<Kind, 3> kKinds = {{{"gangs", 5.9, 1.2, 20, 4000, 4500, 2.2, 1, 455, 6.5, true},
                                                  {"batch", 7.9, 1.5, 25, 3400, 1700, 4.0, 2, 169, 2.3, false},
                                                  {"urgent", 88, 1, 3, 1000, 2500, 1.5, 0, 14.3, 0.21, false}}};

  struct OpenJob {
    std::string id;
    std::string queue;
    Time submitted{};
    Duration objective{};
  };

  int Scaled(int whole) const { return std::max(3, static_cast<int>(std::lround(whole * m_settings.scale))); }

  void AddQueue(const Kind& kind) {
    QueueConfig queue = m_cluster.config->queues.front();
    queue.id = QueueId(kind.queue);
    queue.prefix = fmt::format("/{}/", kind.queue);
    queue.priority = kind.priority;
    queue.stretch = kind.stretch;
    queue.target_duration_ms = 0;
    queue.policy = PolicyConfig{kind.call_ms, kind.per_upstream_ms, kTicketMs};
    m_cluster.config->queues.push_back(queue);
  }

  Duration TimeToNextJob() {
    double rate = 0;
    for (const Kind& kind : kKinds) rate += kind.jobs_per_second;
    const double seconds = std::exponential_distribution<>(rate * m_settings.rate * m_settings.scale)(m_random);
    return Duration(static_cast<std::int64_t>(1e6 * seconds));
  }

  /// @return a log-normal figure with this mean, between bounds
  std::int64_t Figure(double mean, double spread, double lowest, double highest) {
    const double value = std::lognormal_distribution<>(std::log(mean) - spread * spread / 2, spread)(m_random);
    return std::llround(std::clamp(value, lowest, highest));
  }

  void Submit() {
    std::discrete_distribution<std::size_t> pick(
        {kKinds[0].jobs_per_second, kKinds[1].jobs_per_second, kKinds[2].jobs_per_second});
    const Kind& kind = kKinds.at(pick(m_random));
    const std::int64_t steps = kind.steps > 1 ? Figure(kind.steps, 0.4, 1, 3) : 1;
    const std::int64_t run_ms = Figure(kind.run_ms, 0.5, 100, 4 * kind.run_ms);
    const std::int64_t tasks = Figure(kind.tasks, 0.6, 1, 3 * kind.tasks);
    const std::int64_t cpu = Figure(kind.cpu_millis, 0.4, 200, 2 * kind.cpu_millis);
    const auto estimate = Figure(static_cast<double>(run_ms), 0.4, 50, 60'000);
    const std::string id = fmt::format("{:016x}", ++m_submitted);
    const int instance = static_cast<int>(m_random() % m_cluster.instances.size());
    m_cluster.Call(instance, "POST", fmt::format("{}/{}", kind.queue, id),
                   fmt::format("steps={} tasks={} cpu={} ms={} estimate={}{}", steps, tasks, cpu, run_ms, estimate,
                               kind.is_gang ? " gang" : ""),
                   fmt::format("key{}", m_random() % kTeams));
    ++counts[kind.queue].submitted;
    m_queue_of_job[id] = kind.queue;
    m_open.push_back(
        {id, kind.queue, m_cluster.queue.now(),
         Duration(static_cast<std::int64_t>(1000.0 * kind.stretch * static_cast<double>(steps * run_ms)))});
  }

  bool IsDone(const OpenJob& job) const {
    const JobSpec& spec = m_cluster.submissions.at(job.id).spec;
    const std::size_t last = spec.steps.size() - 1;
    const auto is_done = [&](std::size_t index) {
      return m_cluster.history.done.contains(TaskKey{JobId(job.id), 0, last, index});
    };
    for (std::int64_t i = 0; i < spec.steps[last].task_count; ++i) {
      const bool is_task_done = is_done(static_cast<std::size_t>(i));
      // One member that has completed completes the gang.
      if (is_task_done && spec.steps[last].is_gang) return true;
      if (!is_task_done) return false;
    }
    return true;
  }

  void CheckOpenJobs() {
    std::erase_if(m_open, [this](const OpenJob& job) {
      const Duration age = m_cluster.queue.now() - job.submitted;
      const bool is_accepted = m_cluster.submissions.at(job.id).is_accepted;
      const bool is_done = is_accepted && IsDone(job);
      if (!is_done && age <= 3 * job.objective) return false;
      Count& count = counts[job.queue];
      count.accepted += is_accepted ? 1 : 0;
      if (is_done && age <= job.objective) ++count.in_time;
      if (is_done && age > job.objective) ++count.within_three_times;
      return true;
    });
  }

  const Settings m_settings;
  std::mt19937 m_random;
  SimulatedCluster m_cluster;
  std::uint64_t m_submitted = 0;
  std::vector<OpenJob> m_open;
  std::map<std::string, std::string> m_queue_of_job;
};

}  // namespace jaymast
