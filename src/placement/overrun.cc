#include "placement/overrun.h"

#include <algorithm>

namespace jaymast {

OverrunDeadlines OverrunDeadlines::ForRunTime(const TaskSpec& spec, const Estimate& estimate, Time started) {
  OverrunDeadlines deadlines;
  if (spec.work_class == WorkClass::kService || estimate.run_ms <= 0) return deadlines;
  const Duration step = std::max<Duration>(std::chrono::milliseconds(estimate.run_ms), kMinStep);
  deadlines.m_throttle_at = started + step * kThrottleMultiple;
  deadlines.m_checkpoint_at = started + step * kCheckpointMultiple;
  deadlines.m_stop_at = started + step * kStopMultiple;
  return deadlines;
}

OverrunDeadlines OverrunDeadlines::ForUsage(Time first_seen, Duration grace) {
  OverrunDeadlines deadlines;
  deadlines.m_throttle_at = first_seen;
  deadlines.m_checkpoint_at = first_seen + grace;
  deadlines.m_stop_at = first_seen + 2 * grace;
  return deadlines;
}

OverrunAction OverrunDeadlines::ActionAt(Time now) const {
  if (now >= m_stop_at) return OverrunAction::kStop;
  if (now >= m_checkpoint_at) return OverrunAction::kCheckpoint;
  if (now >= m_throttle_at) return OverrunAction::kThrottle;
  return OverrunAction::kNone;
}

std::optional<Time> OverrunDeadlines::NextAfter(Time now) const {
  for (const Time at : {m_throttle_at, m_checkpoint_at, m_stop_at}) {
    if (at > now && at != Time::max()) return at;
  }
  return std::nullopt;
}

std::optional<StopMode> ToStopMode(OverrunAction action) {
  switch (action) {
    case OverrunAction::kThrottle:
      return StopMode::kThrottle;
    case OverrunAction::kCheckpoint:
      return StopMode::kCheckpoint;
    case OverrunAction::kStop:
      return StopMode::kStop;
    case OverrunAction::kNone:
      break;
  }
  return std::nullopt;
}

}  // namespace jaymast
