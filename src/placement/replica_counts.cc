#include "placement/replica_counts.h"

#include <algorithm>

#include "base/hash.h"

namespace jaymast {
namespace {

/// Odd multiplier that makes the combined hash depend on the order of team and kind.
constexpr std::uint64_t kTeamHashMultiplier = 0x9e3779b97f4a7c15;

}  // namespace

ReplicaCounts::ServiceKey ReplicaCounts::KeyOf(const TaskSpec& spec) {
  return StableHash(spec.team.value()) * kTeamHashMultiplier + StableHash(spec.kind);
}

void ReplicaCounts::Add(ServiceKey service, const UpstreamTable::Row& row, std::int32_t change) {
  Service& counts = m_services[service];
  Adjust(counts.domains, row.domain, change);
  Adjust(counts.racks, row.rack, change);
  if (counts.racks.empty()) m_services.erase(service);
}

std::int32_t ReplicaCounts::InDomain(ServiceKey service, Index domain) const {
  const auto known = m_services.find(service);
  return known == m_services.end() ? 0 : CountAt(known->second.domains, domain);
}

std::int32_t ReplicaCounts::InRack(ServiceKey service, Index rack) const {
  const auto known = m_services.find(service);
  return known == m_services.end() ? 0 : CountAt(known->second.racks, rack);
}

std::size_t ReplicaCounts::MemoryBytes() const {
  constexpr std::size_t kHashNodeBytes = 24;
  std::size_t bytes = 0;
  for (const auto& [key, service] : m_services) {
    bytes += sizeof(Service) + kHashNodeBytes;
    bytes += (service.domains.capacity() + service.racks.capacity()) * sizeof(Count);
  }
  return bytes;
}

void ReplicaCounts::Adjust(std::vector<Count>& counts, Index place, std::int32_t change) {
  const auto same = [place](const Count& count) { return count.place == place; };
  const auto known = std::find_if(counts.begin(), counts.end(), same);
  if (known == counts.end()) {
    if (change > 0) counts.push_back({place, change});
    return;
  }
  known->replicas += change;
  if (known->replicas <= 0) counts.erase(known);
}

std::int32_t ReplicaCounts::CountAt(const std::vector<Count>& counts, Index place) {
  for (const Count& count : counts) {
    if (count.place == place) return count.replicas;
  }
  return 0;
}

}  // namespace jaymast
