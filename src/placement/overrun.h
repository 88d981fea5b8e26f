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

/// Action against a task that exceeds its expected run time or its demand, mildest first.
enum class OverrunAction { kNone, kThrottle, kCheckpoint, kStop };

template <>
struct EnumNames<OverrunAction> {
  static constexpr std::array<std::string_view, 4> kNames = {"none", "throttle", "checkpoint", "stop"};
};

/// Holds the times at which actions against an overrunning task become due. Computed once, when the task starts or when
/// its usage first exceeds its demand.
class OverrunDeadlines {
 public:
  /// Multiples of the estimated run time. The estimate is a 90th percentile, so one normal task in ten exceeds it.
  static constexpr std::int64_t kThrottleMultiple = 2;
  static constexpr std::int64_t kCheckpointMultiple = 3;
  static constexpr std::int64_t kStopMultiple = 4;

  /// Minimum run time to multiply, because the run times of short tasks vary by more than their length.
  static constexpr Duration kMinStep = std::chrono::seconds(10);

  /// Deadlines for the run time. None for services and tasks without an estimate.
  static OverrunDeadlines ForRunTime(const TaskSpec& spec, const Estimate& estimate, Time started);

  /// Deadlines for usage above the demand: throttled at once, checkpointed after `grace`, stopped after twice `grace`.
  static OverrunDeadlines ForUsage(Time first_seen, Duration grace);

  /// The strictest action due.
  OverrunAction ActionAt(Time now) const;

  /// Time of the next action after `now`, if any.
  std::optional<Time> NextAfter(Time now) const;

 private:
  Time m_throttle_at = Time::max();
  Time m_checkpoint_at = Time::max();
  Time m_stop_at = Time::max();
};

/// Stop mode to request from the runner, or nothing for kNone.
std::optional<StopMode> ToStopMode(OverrunAction action);

}  // namespace jaymast
