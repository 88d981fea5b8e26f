#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "cell_testing/simulated_cluster.h"

namespace jaymast {

/// A cell of which a third of the upstreams is 2.4 times as fast as the others, under a load of 55% of gangs, batches
/// and urgent jobs whose declared run times are wrong by a factor that all tasks of a job share.
class MixedSpeedSite {
 public:
  static constexpr int kUpstreams = 60;
  static constexpr double kFastSpeed = 1.7;
  static constexpr double kSlowSpeed = 0.7;

  explicit MixedSpeedSite(CellOptions options, unsigned seed = 1)
      : cluster(3, kUpstreams, 32'000, std::move(options)), m_random(seed) {
    AddQueue("urgent", 0, kUrgentStretch);
    AddQueue("gangs", 1, 2.2);
    AddQueue("batch", 2, 4.0);
    for (std::size_t i = 0; i < cluster.fake_upstreams.size(); ++i) {
      cluster.fake_upstreams[i]->speed = i % 3 == 0 ? kFastSpeed : kSlowSpeed;
    }
    cluster.Run(std::chrono::seconds(2));
  }

  /// Submits jobs for some time, and lets them end.
  void Run(std::chrono::seconds time) {
    const Time end = cluster.queue.now() + time;
    while (cluster.queue.now() < end) {
      const double draw = Uniform(0, 1) * (kUrgentPerSecond + kGangsPerSecond + kBatchesPerSecond);
      if (draw < kUrgentPerSecond) {
        // In time on a fast upstream only: 0.97 s on a slow one are longer than 1.2 x 0.68 s and the target duration.
        Submit("urgent", kUrgentStretch, "tasks=3 cpu=5000", 680, 2.5);
      } else if (draw < kUrgentPerSecond + kGangsPerSecond) {
        Submit("gangs", 2.2, "tasks=16 cpu=9000 gang", 5300, 1.2);
      } else {
        Submit("batch", 4.0, "tasks=25 cpu=3500", 2900, 2.5);
      }
      const double pause_s = -std::log(Uniform(1e-9, 1)) / (kUrgentPerSecond + kGangsPerSecond + kBatchesPerSecond);
      cluster.Run(Duration(static_cast<std::int64_t>(pause_s * 1e6)));
    }
    cluster.Run(std::chrono::seconds(20));
  }

  /// Share of the jobs of a queue, or of all, that were complete in time.
  double ShareInTime(const std::string& queue = "") const {
    double jobs = 0;
    double in_time = 0;
    for (const SubmittedJob& job : m_jobs) {
      if (!queue.empty() && job.queue != queue) continue;
      ++jobs;
      int done = 0;
      bool is_late = false;
      for (const auto& [task, at] : cluster.history.done_at) {
        if (task.job.value() != job.id) continue;
        ++done;
        is_late |= at > job.deadline;
      }
      if (done == job.tasks && !is_late) ++in_time;
    }
    return in_time / std::max(1.0, jobs);
  }

  SimulatedCluster cluster;

 private:
  static constexpr double kUrgentPerSecond = 30;
  static constexpr double kGangsPerSecond = 0.4;
  static constexpr double kBatchesPerSecond = 2;
  static constexpr double kUrgentStretch = 1.2;
  static constexpr std::int64_t kTargetMs = 150;

  struct SubmittedJob {
    std::string id;
    std::string queue;
    int tasks = 0;
    Time deadline{};
  };

  double Uniform(double low, double high) {
    // The distributions of the library differ between platforms.
    return low + (high - low) * static_cast<double>(m_random()) / static_cast<double>(std::mt19937::max());
  }

  /// @param error highest factor between the declared and the true run time, either way
  void Submit(const std::string& queue, double stretch, std::string payload, double mean_ms, double error) {
    const double run_ms = mean_ms * Uniform(0.7, 1.3);
    const double declared_ms = run_ms * std::exp(Uniform(-1, 1) * std::log(error));
    payload += " ms=" + std::to_string(std::llround(run_ms)) + " estimate=" + std::to_string(std::llround(declared_ms));
    SubmittedJob job;
    job.id = "job" + std::to_string(m_jobs.size());
    job.queue = queue;
    job.tasks = static_cast<int>(PayloadFigure(payload, "tasks", 1));
    job.deadline = cluster.queue.now() + Duration(std::llround((run_ms * stretch + kTargetMs) * 1000.0));
    cluster.Call(static_cast<int>(m_jobs.size() % 3), "POST", queue + "/" + job.id, payload);
    m_jobs.push_back(std::move(job));
  }

  void AddQueue(const std::string& name, std::int64_t priority, double stretch) {
    QueueConfig queue = cluster.config->queues.front();
    queue.id = QueueId(name);
    queue.prefix = "/" + name + "/";
    queue.priority = priority;
    queue.stretch = stretch;
    queue.target_duration_ms = kTargetMs;
    cluster.config->queues.push_back(queue);
  }

  std::mt19937 m_random;
  std::vector<SubmittedJob> m_jobs;
};

}  // namespace jaymast
