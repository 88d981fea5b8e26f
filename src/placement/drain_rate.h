#pragma once

#include <cstddef>

#include "base/time.h"

namespace jaymast {

/// Measures the rate at which tasks leave a queue, as an exponentially decayed average.
class DrainRate {
 public:
  void OnDequeued(std::size_t tasks, Time now);

  /// @return tasks per second, 0 before the first task
  double PerSecond(Time now) const;

 private:
  double m_rate = 0;  ///< tasks per second at `m_updated`
  Time m_updated;
};

}  // namespace jaymast
