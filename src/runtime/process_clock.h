#pragma once

#include <chrono>

#include "base/time.h"
#include "runtime/wall_clock.h"

namespace jaymast {

/// Monotonic clock that starts at the wall-clock time. The start allows merging the event logs of several processes;
/// the steady clock keeps it from going backwards.
class ProcessClock {
 public:
  ProcessClock() : m_offset(WallMicros() - SteadyMicros()) {}

  Time Now() const { return Time(SteadyMicros() + m_offset); }

  /// The same point in time on the steady clock, for timers.
  std::chrono::steady_clock::time_point ToSteady(Time time) const {
    return std::chrono::steady_clock::time_point(time.time_since_epoch() - m_offset);
  }

 private:
  static Duration SteadyMicros() {
    return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch());
  }

  const Duration m_offset;
};

}  // namespace jaymast
