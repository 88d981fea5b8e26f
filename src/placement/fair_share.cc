#include "placement/fair_share.h"

#include <algorithm>

namespace jaymast {
namespace {

double Fraction(std::int64_t used, std::int64_t capacity) {
  return capacity > 0 ? static_cast<double>(used) / static_cast<double>(capacity) : 0.0;
}

}  // namespace

void FairShare::SetShare(const TeamId& team, std::int64_t share) { m_shares[team] = share; }

void FairShare::SetCapacity(const Resources& capacity) { m_capacity = capacity; }

void FairShare::Add(const TeamId& team, const Resources& used, Time /*now*/) { m_used[team] += used; }

void FairShare::Remove(const TeamId& team, const Resources& used, Time /*now*/) { m_used[team] -= used; }

double FairShare::Score(const TeamId& team, Time /*now*/) const {
  const auto used = m_used.find(team);
  if (used == m_used.end()) return 0.0;
  const auto share = m_shares.find(team);
  const double weight = share == m_shares.end() ? 1.0 : static_cast<double>(share->second);
  const double dominant = std::max(
      {Fraction(used->second.cpu_millis, m_capacity.cpu_millis), Fraction(used->second.memory_mb, m_capacity.memory_mb),
       Fraction(used->second.accelerators, m_capacity.accelerators), Fraction(used->second.slots, m_capacity.slots)});
  return dominant / weight;
}

}  // namespace jaymast
