#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "base/time.h"

namespace jaymast {

/// Admits a number of operations a second on average, with a short burst (generic cell rate algorithm).
class RateCap {
 public:
  /// Operations that arrive together are admitted up to this part of the budget of a second.
  static constexpr Duration kBurst = std::chrono::milliseconds(100);

  /// @param per_second the budget; 0 admits everything
  explicit RateCap(std::int64_t per_second)
      : m_interval(per_second > 0 ? Duration(std::chrono::seconds(1)) / per_second : Duration::zero()) {}

  /// Whether one more operation is within the budget; if so, it is counted.
  bool Admit(Time now) {
    const Time scheduled = std::max(m_next, now);
    if (scheduled - now > kBurst) return false;
    m_next = scheduled + m_interval;
    return true;
  }

 private:
  Duration m_interval;
  Time m_next;  ///< when the next operation is due at the steady rate
};

}  // namespace jaymast
