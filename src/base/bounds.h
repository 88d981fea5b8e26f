#pragma once

#include <cstdint>

namespace jaymast {

/// Largest epoch, version or attempt accepted from outside. Counters rise by one, so they cannot overflow from here.
inline constexpr std::int64_t kMaxCounter = std::int64_t{1} << 53U;

}  // namespace jaymast
