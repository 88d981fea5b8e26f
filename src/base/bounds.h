#pragma once

#include <cstdint>

namespace jaymast {

/// Largest epoch, configuration version or attempt accepted in input. It is far below the largest std::int64_t, so that
/// increments by one cannot overflow.
inline constexpr std::int64_t kMaxCounter = std::int64_t{1} << 53U;

}  // namespace jaymast
