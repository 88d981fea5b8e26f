#include "cell/retry_schedule.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace jaymast {

std::int64_t RetrySchedule::Reserve(Time now, double earliest_s, double share, std::int64_t priority) {
  const std::int64_t second = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
  m_reserved.erase(m_reserved.begin(), m_reserved.lower_bound(second));
  const double bounded_s = std::clamp(earliest_s, 1.0, static_cast<double>(kMaxDelayS));
  auto delay_s = static_cast<std::int64_t>(std::ceil(bounded_s));
  for (; delay_s < kMaxDelayS; ++delay_s) {
    const auto found = m_reserved.find(second + delay_s);
    if (found == m_reserved.end()) break;
    double reserved = 0;
    for (const auto& [other_priority, other_share] : found->second) {
      if (other_priority <= priority) reserved += other_share;
    }
    // A job that takes longer than a second on all cores gets a second of its own.
    if (reserved == 0 || reserved + share <= 1.0) break;
  }
  m_reserved[second + delay_s][priority] += share;
  return delay_s;
}

}  // namespace jaymast
