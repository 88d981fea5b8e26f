#pragma once

#include <chrono>
#include <cstdint>
#include <ratio>

namespace jaymast {

/// Clock type of the decision core. It has no now(): the current time is passed in.
struct CoreClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<CoreClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming): required of a clock
};

/// A time span in microseconds. For settings and messages only; state stores deadlines as Time.
using Duration = std::chrono::microseconds;

/// A point in time on the monotonic clock of one process.
using Time = CoreClock::time_point;

/// Converts microseconds since the epoch of the clock to a Time.
constexpr Time TimeFromMicros(std::int64_t micros) { return Time(Duration(micros)); }

/// Returns the microseconds since the epoch of the clock.
constexpr std::int64_t ToMicros(Time time) { return time.time_since_epoch().count(); }

/// Returns the whole milliseconds of a duration, truncated.
constexpr std::int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace jaymast
