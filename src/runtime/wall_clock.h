#pragma once

#include <chrono>
#include <cstdint>

#include "base/time.h"

namespace jaymast {

/// Time of day since 1970. It may jump.
inline Duration WallMicros() {
  return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
}

/// Time of day since 1970 in whole milliseconds.
inline std::int64_t WallMillis() { return ToMillis(WallMicros()); }

}  // namespace jaymast
