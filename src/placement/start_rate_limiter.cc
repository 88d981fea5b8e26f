#include "placement/start_rate_limiter.h"

#include <algorithm>
#include <chrono>

namespace jaymast {

void StartRateLimiter::SetLimit(Index domain, Time until, std::int64_t starts_per_second, Time now) {
  if (domain >= m_ramps.size()) m_ramps.resize(domain + 1);
  m_ramps[domain] = {until, now, std::max<std::int64_t>(starts_per_second, 1)};
}

bool StartRateLimiter::MayStart(Index domain, Time now) const {
  if (domain >= m_ramps.size()) return true;
  const Ramp& ramp = m_ramps[domain];
  return now >= ramp.until || now >= ramp.next_start;
}

void StartRateLimiter::OnStart(Index domain, Time now) {
  if (domain >= m_ramps.size()) return;
  Ramp& ramp = m_ramps[domain];
  if (now >= ramp.until) return;
  constexpr Duration kSecond = std::chrono::seconds(1);
  ramp.next_start = std::max(ramp.next_start, now) + kSecond / ramp.starts_per_second;
}

}  // namespace jaymast
