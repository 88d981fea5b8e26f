#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "base/enum_names.h"
#include "base/time.h"
#include "core/upstream_protocol.h"
#include "placement/estimator.h"

namespace jaymast {

/// What to do about a task that runs longer or uses more than expected, mildest first.
enum class OverrunAction { kNone, kThrottle, kCheckpoint, kStop };

template <>
struct EnumNames<OverrunAction> {
  static constexpr std::array<std::string_view, 4> kNames = {"none", "throttle", "checkpoint", "stop"};
};

/// Deadlines of a running task after which it overruns. Made once when the task starts, or when its usage first exceeds
/// its demand.
class OverrunDeadlines {
 public:
  /// A run time counts as an overrun from this multiple of the 90th percentile. One task in ten exceeds the percentile
  /// itself without any fault.
  static constexpr std::int64_t kThrottleMultiple = 2;
  static constexpr std::int64_t kCheckpointMultiple = 3;
  static constexpr std::int64_t kStopMultiple = 4;

  /// Short tasks vary by more than their length, so each step takes at least this long.
  static constexpr Duration kMinStep = std::chrono::seconds(10);

  /// Deadlines for the run time. A service and a task without an estimate never overrun.
  static OverrunDeadlines ForRunTime(const TaskSpec& spec, const Estimate& estimate, Time started);

  /// Deadlines for usage above the demand: throttled at once, then one step of `grace` each.
  static OverrunDeadlines ForUsage(Time first_seen, Duration grace);

  /// The strictest action that is due.
  OverrunAction ActionAt(Time now) const;

  /// Time of the next action after `now`, if there is one.
  std::optional<Time> NextAfter(Time now) const;

 private:
  Time m_throttle_at = Time::max();
  Time m_checkpoint_at = Time::max();
  Time m_stop_at = Time::max();
};

/// The request to the runner for an action, or nothing for kNone.
std::optional<StopMode> ToStopMode(OverrunAction action);

}  // namespace jaymast
