#pragma once

#include <chrono>
#include <cstdint>

#include "base/time.h"

namespace jaymast {

/// Time since 1970-01-01 UTC (the Unix epoch). Not monotonic.
inline Duration WallMicros() {
  return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
}

/// Time since 1970-01-01 UTC in whole milliseconds.
inline std::int64_t WallMillis() { return ToMillis(WallMicros()); }

}  // namespace jaymast
