#pragma once

#include <cstdint>

namespace jaymast {

/// Largest epoch, version or attempt accepted in input. It leaves enough range for increments by one never to overflow.
inline constexpr std::int64_t kMaxCounter = std::int64_t{1} << 53U;

}  // namespace jaymast
