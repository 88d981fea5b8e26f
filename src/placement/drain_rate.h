#pragma once

#include <cstddef>

#include "base/time.h"

namespace jaymast {

/// Decayed rate at which tasks leave a queue.
class DrainRate {
 public:
  void OnDequeued(std::size_t tasks, Time now);

  /// Tasks a second, 0 before the first one.
  double PerSecond(Time now) const;

 private:
  double m_rate = 0;  ///< at `m_updated`
  Time m_updated;
};

}  // namespace jaymast
