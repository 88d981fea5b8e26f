#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

#include "base/time.h"

namespace jaymast {

/// Hybrid logical time: a physical time that never runs behind a known cause, and a counter that orders equal times.
struct HybridTime {
  Time physical;
  std::int64_t logical = 0;

  friend auto operator<=>(const HybridTime&, const HybridTime&) = default;  // NOLINT(modernize-use-nullptr)
};

/// Hybrid time of an event that its process clock dated `clock` and that happened after `previous`.
inline HybridTime After(const HybridTime& previous, Time clock) {
  if (clock > previous.physical) return HybridTime{clock, 0};
  return HybridTime{previous.physical, previous.logical + 1};
}

}  // namespace jaymast
