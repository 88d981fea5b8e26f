#include "cell/run_end_estimate.h"

#include <algorithm>
#include <cstdint>

#include "jobs/job.h"

namespace jaymast {
namespace {

/// A run is expected to take this multiple of its expected run time at most.
constexpr double kRunTimeMargin = 1.15;
/// Time between the assignment of a task and the beginning of its run: commit and transfer of the start.
constexpr Duration kStartDelay{100'000};
/// Time until the end of a stopped run is reported.
constexpr Duration kStopDelay{500'000};
/// Progress is reported in whole percentages, so that its rate is known to a fifth from this many on.
constexpr std::int32_t kMinObservedPercents = 5;
constexpr std::int32_t kFinishedPercent = 100;
/// Time between two reports of the progress of a run.
constexpr Duration kReportInterval{2'000'000};

/// @return Time::max() unless the run has made enough progress, and goes on at the same rate
Time ProjectProgress(const TaskState& task, Time now) {
  const RunReference& reference = task.reference;
  const std::int32_t observed = task.percent - reference.percent;
  if (reference.percent < 0 || observed < kMinObservedPercents) return Time::max();
  const Duration each_percent = (task.progressed_at - reference.since) / observed;
  const Time end = task.progressed_at + each_percent * (kFinishedPercent - task.percent);
  if (end >= now) return end;
  return now - end <= std::max(each_percent, kReportInterval) ? now : Time::max();
}

}  // namespace

Time EstimateRunEnd(const TaskState& task, Duration expected_run, Time now) {
  const Duration longest_run(static_cast<Duration::rep>(static_cast<double>(expected_run.count()) * kRunTimeMargin));
  switch (task.phase) {
    case TaskPhase::kWaiting:
    case TaskPhase::kAssigned:
    case TaskPhase::kStarting:
      return now + kStartDelay + longest_run;
    case TaskPhase::kRunning: {
      const Time projected = ProjectProgress(task, now);
      if (projected != Time::max()) return projected;
      const Time begun_at = std::min(task.confirmed_at, now);
      const Time end = begun_at + longest_run;
      return end > now ? end : Time::max();
    }
    case TaskPhase::kStopping:
      return now + kStopDelay;
    case TaskPhase::kDone:
      return now;
  }
  return Time::max();
}

}  // namespace jaymast
