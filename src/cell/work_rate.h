#pragma once

#include <cstdint>
#include <map>

#include "base/time.h"

namespace jaymast {

/// Rate at which work of each priority was admitted, averaged over about kWindow.
///
/// Load: work of high priority that arrives all the time and takes most of the capacity, so that a queue of lower
/// priority drains much more slowly than its length suggests.
class WorkRate {
 public:
  /// Long enough to average over many jobs, and as long as the burst of an organisation within its weight.
  static constexpr Duration kWindow{2'000'000};

  /// @param amount of work, in a unit of the caller's choice
  void Add(std::int64_t priority, double amount, Time now);

  /// Work admitted a second with a higher priority, that is a lower number, than this one.
  double RateAbove(std::int64_t priority, Time now) const;

 private:
  struct Average {
    double sum = 0;  ///< decays with the window
    Time updated_at{};
  };

  static double DecayedSum(const Average& average, Time now);

  std::map<std::int64_t, Average> m_averages;
};

}  // namespace jaymast
