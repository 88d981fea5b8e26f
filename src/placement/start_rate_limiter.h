#pragma once

#include <cstdint>
#include <vector>

#include "base/time.h"
#include "placement/upstream_table.h"

namespace jaymast {

/// Limits the rate of starts in failure domains that have just returned to service.
class StartRateLimiter {
 public:
  using Index = UpstreamTable::Index;

  /// Limits a domain to `starts_per_second`, at least 1, until `until`. Replaces an earlier limit of the domain.
  void SetLimit(Index domain, Time until, std::int64_t starts_per_second, Time now);

  bool MayStart(Index domain, Time now) const;
  void OnStart(Index domain, Time now);

 private:
  /// Limit of one domain.
  struct Ramp {
    Time until;
    Time next_start;  ///< earliest time of the next start
    std::int64_t starts_per_second = 1;
  };

  std::vector<Ramp> m_ramps;  ///< indexed by domain
};

}  // namespace jaymast
