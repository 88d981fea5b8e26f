#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "model/task_spec.h"
#include "placement/upstream_table.h"

namespace jaymast {

/// Counts the running replicas of each service per failure domain and rack. A service is a kind of work of one team.
class ReplicaCounts {
 public:
  using Index = UpstreamTable::Index;
  using ServiceKey = std::uint64_t;

  static ServiceKey KeyOf(const TaskSpec& spec);

  void Add(ServiceKey service, const UpstreamTable::Row& row, std::int32_t change);

  std::int32_t InDomain(ServiceKey service, Index domain) const;
  std::int32_t InRack(ServiceKey service, Index rack) const;

  std::size_t MemoryBytes() const;

 private:
  struct Count {
    Index place = 0;  ///< index of a failure domain or rack
    std::int32_t replicas = 0;
  };
  struct Service {
    std::vector<Count> domains;
    std::vector<Count> racks;
  };

  static void Adjust(std::vector<Count>& counts, Index place, std::int32_t change);
  static std::int32_t CountAt(const std::vector<Count>& counts, Index place);

  std::unordered_map<ServiceKey, Service> m_services;
};

}  // namespace jaymast
