#pragma once

#include <cstdint>
#include <map>

#include "base/id.h"
#include "base/resources.h"
#include "base/time.h"

namespace jaymast {

/// Weighted dominant-resource fairness over decayed usage.
class FairShare {
 public:
  void SetShare(const TeamId& team, std::int64_t share);
  void SetCapacity(const Resources& capacity);

  /// A task of the team began to use capacity.
  void Add(const TeamId& team, const Resources& used, Time now);

  /// A task of the team stopped using capacity.
  void Remove(const TeamId& team, const Resources& used, Time now);

  /// Dominant share of the team divided by its weight. The team with the lowest score is served next.
  double Score(const TeamId& team, Time now) const;

 private:
  std::map<TeamId, std::int64_t> m_shares;
  std::map<TeamId, Resources> m_used;
  Resources m_capacity;
};

}  // namespace jaymast
