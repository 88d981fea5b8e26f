#include <fmt/format.h>
#include <gtest/gtest.h>

#include <iostream>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cell_testing/cell_checks.h"
#include "cell_testing/policy_workload.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kWorkloadInstances = 24;
constexpr int kOverloaded = static_cast<int>(ClientOutcome::kOverloaded);

CellOptions WithoutAdmissionByCause() { return CellOptions{{CellFeature::kAdmissionByCause}}; }

/// Counts refusals of submissions, those that arrived while capacity for all their first tasks was free and the
/// organisation was below its limit, and accepted jobs that ended in time by their true run times.
class AdmissionMonitor {
 public:
  explicit AdmissionMonitor(SimulatedCluster& cluster) : m_cluster(cluster) {}

  void Submit(int index, const std::string& queue, const std::string& job, const std::string& payload,
              const std::string& key) {
    const std::string path = queue + "/" + job;
    const bool is_free = HasFreeCapacity(payload) && !IsAtLimit(payload, key);
    const Time sent_at = m_cluster.queue.now();
    m_cluster.Call(index, "POST", path, payload, key);
    ++submitted;
    ++submitted_by_queue[queue];
    m_unanswered[path] = {job, sent_at, is_free};
  }

  /// Runs the cluster and notes responses and ends.
  void Run(Duration time) {
    const Time end = m_cluster.queue.now() + time;
    while (m_cluster.queue.now() < end) {
      m_cluster.Run(std::min<Duration>(milliseconds(20), end - m_cluster.queue.now()));
      Observe();
    }
  }

  std::string Report(const std::string& title) const {
    std::string by_queue;
    for (const auto& [queue, count] : in_time_by_queue) {
      by_queue += fmt::format(" {} {}/{}", queue, count, submitted_by_queue.at(queue));
    }
    return fmt::format(
        "{}: {} submitted, {} accepted, {} refused, {} of them while capacity was free; {} of the accepted in time;{}",
        title, submitted, accepted, refused, refused_while_free, in_time, by_queue);
  }

  /// Share of the submitted jobs that were admitted and ended in time, as the mean of the queues.
  double MeanShareInTime() const {
    double sum = 0;
    for (const auto& [queue, count] : in_time_by_queue) {
      sum += static_cast<double>(count) / static_cast<double>(submitted_by_queue.at(queue));
    }
    return sum / static_cast<double>(submitted_by_queue.size());
  }

  int submitted = 0;
  int accepted = 0;
  int refused = 0;
  int refused_while_free = 0;
  int in_time = 0;
  std::map<std::string, int> submitted_by_queue;
  std::map<std::string, int> in_time_by_queue;

 private:
  struct Open {
    std::string job;
    Time sent_at{};
    bool is_free = false;
  };

  void Observe() {
    for (auto it = m_unanswered.begin(); it != m_unanswered.end();) {
      const int status = m_cluster.LastStatus("POST " + it->first);
      if (status == kAccepted) {
        ++accepted;
        m_running[it->second.job] = it->second;
      } else if (status == kOverloaded) {
        ++refused;
        refused_while_free += it->second.is_free ? 1 : 0;
      }
      it = status >= 0 ? m_unanswered.erase(it) : std::next(it);
    }
    std::erase_if(m_running, [this](const auto& entry) {
      const SimulatedCluster::Submission& submission = m_cluster.submissions.at(entry.first);
      if (!IsDone(entry.first, submission.spec)) return false;
      const QueueConfig& queue = *m_cluster.config->FindQueue("", submission.path);
      const std::int64_t run_ms = PayloadFigure(submission.spec.payload, "ms", 500);
      const double call_ms = queue.policy ? queue.policy->call_ms + 30 * queue.policy->per_upstream_ms : 0;
      const double path_ms =
          (static_cast<double>(run_ms) + call_ms) * static_cast<double>(submission.spec.steps.size());
      const double objective_ms = path_ms * queue.stretch + static_cast<double>(queue.target_duration_ms);
      if (static_cast<double>(ToMillis(m_cluster.queue.now() - entry.second.sent_at)) <= objective_ms) {
        ++in_time;
        ++in_time_by_queue[queue.id.value()];
      }
      return true;
    });
  }

  bool IsDone(const std::string& job, const JobSpec& spec) const {
    const std::size_t last = spec.steps.size() - 1;
    for (std::size_t i = 0; i < static_cast<std::size_t>(spec.steps[last].task_count); ++i) {
      if (!m_cluster.history.done.contains(TaskKey{JobId(job), 0, last, i})) return false;
    }
    return true;
  }

  bool HasFreeCapacity(const std::string& payload) const {
    const StepSpec step = ParseJobSpec(payload).steps.front();
    std::int64_t slots = 0;
    for (const auto& upstream : m_cluster.fake_upstreams) {
      Resources free = upstream->listing().capacity;
      upstream->ForEachRun([&free](const TaskKey& /*task*/, const Resources& demand) { free -= demand; });
      while (step.demand.FitsIn(free)) {
        free -= step.demand;
        ++slots;
      }
    }
    return slots >= step.task_count;
  }

  /// Whether the running tasks of an organisation leave less of its limit than the first tasks of a job need.
  bool IsAtLimit(const std::string& payload, const std::string& key) const {
    const Resources limit = m_cluster.config->teams.at(m_cluster.config->team_of_key.at(key)).limit;
    Resources used = ParseJobSpec(payload).steps.front().total_demand();
    for (const auto& upstream : m_cluster.fake_upstreams) {
      upstream->ForEachRun([&](const TaskKey& task, const Resources& demand) {
        if (m_cluster.submissions.at(task.job.value()).key == key) used += demand;
      });
    }
    return (limit.cpu_millis > 0 && used.cpu_millis > limit.cpu_millis) ||
           (limit.memory_mb > 0 && used.memory_mb > limit.memory_mb);
  }

  SimulatedCluster& m_cluster;
  std::map<std::string, Open> m_unanswered;
  std::map<std::string, Open> m_running;
};

// Guards against jobs that are accepted although they certainly can't be served. All of them are accepted while all
// waiting work is taken as one queue.
TEST(CellAdmissionTest, RefusesWhatCannotBeServed) {
  for (const bool is_by_cause : {true, false}) {
    SimulatedCluster cluster(2, 2, 8000, is_by_cause ? CellOptions{} : WithoutAdmissionByCause());
    cluster.config->queues.push_back(cluster.config->queues.front());
    QueueConfig& queue = cluster.config->queues.back();
    queue.id = QueueId("other");
    queue.prefix = "/other/";
    queue.service = ServiceId("other");
    cluster.config->teams[TeamId("small")] = TeamConfig{TeamId("small"), 10, Resources{4000, 0, 0, 0}};
    cluster.config->team_of_key["small_key"] = TeamId("small");
    cluster.Run(seconds(3));
    std::map<std::string, int> refusals;
    const auto expect = [&](const std::string& job, const std::string& payload, const std::string& key, int status,
                            const std::string& reason) {
      cluster.Call(0, "POST", job, payload, key);
      cluster.Run(seconds(1));
      EXPECT_EQ(cluster.LastStatus("POST " + job), status) << job << " by cause: " << is_by_cause;
      EXPECT_EQ(cluster.events.Count("job.refused", reason), status == kOverloaded ? ++refusals[reason] : 0) << job;
    };
    const int refused = is_by_cause ? kOverloaded : kAccepted;
    expect("other/job", "", "key", refused, "no upstream is usable");
    expect("q/fits", "tasks=1 cpu=4000 ms=100", "key", kAccepted, "");
    expect("q/wide_gang", "tasks=4 cpu=5000 ms=100 gang", "key", refused, "larger than the upstreams");
    expect("q/above_limit", "tasks=2 cpu=3000 ms=100 gang", "small_key", refused, "larger than the upstreams");
    if (!is_by_cause) {
      expect("q/too_long", "tasks=1000 cpu=8000 ms=1000", "key", kAccepted, "");
      continue;
    }
    expect("q/too_long", "tasks=1000 cpu=8000 ms=1000", "key", kOverloaded, "certainly too late");
    // Silent upstreams and one that is quarantined may return, so the job is not refused for its size.
    cluster.fake_upstreams.front()->is_reachable = false;
    expect("q/gang", "tasks=4 cpu=4000 ms=100 gang", "key", kAccepted, "");
  }
}

/// One organisation that is allowed an eighth of the cell sends a backlog; another one sends small jobs.
AdmissionMonitor RunBacklogAtLimit(SimulatedCluster& cluster) {
  cluster.config->teams[TeamId("hot")] = TeamConfig{TeamId("hot"), 1000, Resources{16'000, 0, 0, 0}};
  cluster.config->team_of_key["hot_key"] = TeamId("hot");
  cluster.Run(seconds(2));
  AdmissionMonitor backlog(cluster);
  for (int i = 0; i < 40; ++i) {
    backlog.Submit(i % 3, "q", fmt::format("hot{}", i), "tasks=16 cpu=1000 ms=4000", "hot_key");
    backlog.Run(milliseconds(20));
  }
  AdmissionMonitor others(cluster);
  for (int i = 0; i < 20; ++i) {
    others.Submit(i % 3, "q", fmt::format("other{}", i), "tasks=4 cpu=1000 ms=500", "key");
    others.Run(milliseconds(100));
  }
  others.Run(seconds(10));
  ExpectNoViolation(cluster);
  return others;
}

// Load pattern: the backlog of one organisation waits for its own limit while seven eighths of the cores are free.
// Guards against refusals of other organisations because of work that does not wait for cores.
TEST(CellAdmissionTest, BacklogAtTheLimitOfOneOrganisationDoesNotRefuseOthers) {
  SimulatedCluster cluster(3, 8, 16'000);
  const AdmissionMonitor with = RunBacklogAtLimit(cluster);
  std::cout << with.Report("by cause") << "\n";
  EXPECT_EQ(with.refused, 0);
  EXPECT_EQ(with.in_time, with.submitted);
  SimulatedCluster former(3, 8, 16'000, WithoutAdmissionByCause());
  const AdmissionMonitor without = RunBacklogAtLimit(former);
  std::cout << without.Report("one queue") << "\n";
  EXPECT_GT(without.refused_while_free, 0) << "the scenario does not show the fault";
}

/// Arrivals of gangs, batch jobs and previews with policy calls at a multiple of the regular rate.
/// @param has_policy whether the jobs need tickets; otherwise they only need capacity
AdmissionMonitor RunWorkload(SimulatedCluster& cluster, double rate, bool has_policy) {
  PolicyWorkload workload(cluster, 1);
  workload.hot_team = 0;
  for (QueueConfig& queue : cluster.config->queues) {
    if (!has_policy) queue.policy.reset();
  }
  cluster.Run(seconds(2));
  AdmissionMonitor monitor(cluster);
  // Chosen before the run, as failures of runs are drawn from the same numbers and depend on the placement.
  std::vector<std::pair<PolicyWorkload::Arrival, Duration>> arrivals;
  for (Duration at{}; at < seconds(20); at += arrivals.back().second) {
    arrivals.emplace_back(workload.NextArrival(), workload.TimeToNextArrival(rate));
  }
  int index = 0;
  for (const auto& [arrival, pause] : arrivals) {
    monitor.Submit(index++ % kWorkloadInstances, arrival.queue, arrival.job, arrival.payload, arrival.key);
    monitor.Run(pause);
  }
  monitor.Run(seconds(20));
  ExpectNoViolation(cluster);
  return monitor;
}

/// Runs the workload with and without admission by cause.
void CompareWorkload(double rate, bool has_policy) {
  SimulatedCluster cluster(kWorkloadInstances, PolicyWorkload::kUpstreams, PolicyWorkload::kUpstreamCpuMillis);
  const AdmissionMonitor with = RunWorkload(cluster, rate, has_policy);
  const std::string load = fmt::format("rate {}{}", rate, has_policy ? "" : " without policy");
  std::cout << with.Report("by cause, " + load) << "\n";
  SimulatedCluster former(kWorkloadInstances, PolicyWorkload::kUpstreams, PolicyWorkload::kUpstreamCpuMillis,
                          WithoutAdmissionByCause());
  const AdmissionMonitor without = RunWorkload(former, rate, has_policy);
  std::cout << without.Report("one queue, " + load) << "\n";
  EXPECT_LE(with.refused_while_free, without.refused_while_free);
  EXPECT_GE(with.MeanShareInTime(), without.MeanShareInTime());
}

// Load pattern: the usual work at its usual rate and at twice this rate, sent by one organisation for the most part.
// Guards against more refusals while upstreams are free than with all waiting work taken as one queue, and against
// admission of so much more work that less of it is in time.
TEST(CellAdmissionTest, RefusesLessWhileCapacityIsFree) {
  CompareWorkload(1, true);
  CompareWorkload(2, true);
}

// Load pattern: work that only needs capacity, at three times the usual rate, which is more than the cell has cores
// for. Guards against admission of more work than can be in time when cores are scarce.
TEST(CellAdmissionTest, AdmitsWhatCanBeInTimeWhenCoresAreScarce) { CompareWorkload(3, false); }

}  // namespace
}  // namespace jaymast
