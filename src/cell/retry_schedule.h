#pragma once

#include <cstdint>
#include <map>

#include "base/time.h"

namespace jaymast {

/// Chooses when refused callers retry, so that in each second about as much work comes back as the cell completes.
///
/// Load: hundreds of callers that are refused within a few milliseconds, for example in a burst or after an outage.
/// With one time for all they would come back together, and most would be refused again until their callers give up.
class RetrySchedule {
 public:
  static constexpr std::int64_t kMaxDelayS = 10;

  /// Returns the delay in whole seconds, from 1 to kMaxDelayS, and reserves a part of that second for the caller.
  /// @param earliest_s time until the job could be admitted, as far as the present queue is concerned
  /// @param share of what the cell completes in a second that the job takes
  /// @param priority callers of a higher priority (a lower number) are not delayed by those of a lower one
  std::int64_t Reserve(Time now, double earliest_s, double share, std::int64_t priority);

 private:
  using ByPriority = std::map<std::int64_t, double>;

  std::map<std::int64_t, ByPriority> m_reserved;  ///< shares by second since the epoch of the clock
};

}  // namespace jaymast
