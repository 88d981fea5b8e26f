#pragma once

#include <chrono>

#include "base/time.h"

namespace jaymast {

/// Current time of the monotonic clock. All processes of one machine share it, so their event logs can be merged.
inline Time SteadyNow() {
  return Time(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// The same point in time for timers.
inline std::chrono::steady_clock::time_point ToSteady(Time time) {
  return std::chrono::steady_clock::time_point(time.time_since_epoch());
}

}  // namespace jaymast
