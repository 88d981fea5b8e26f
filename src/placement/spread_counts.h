#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "model/task_spec.h"
#include "placement/worker_table.h"

namespace jaymast {

/// Number of running replicas of each service per failure domain and rack. A service is a team's kind of work.
class SpreadCounts {
 public:
  using Index = WorkerTable::Index;
  using ServiceKey = std::uint64_t;

  static ServiceKey KeyOf(const TaskSpec& spec);

  void Add(ServiceKey service, const WorkerTable::Row& row, std::int32_t change);

  std::int32_t InDomain(ServiceKey service, Index domain) const;
  std::int32_t InRack(ServiceKey service, Index rack) const;

  std::size_t MemoryBytes() const;

 private:
  struct Count {
    Index place = 0;
    std::int32_t replicas = 0;
  };
  struct Service {
    std::vector<Count> domains;
    std::vector<Count> racks;
  };

  static void Change(std::vector<Count>& counts, Index place, std::int32_t change);
  static std::int32_t Find(const std::vector<Count>& counts, Index place);

  std::unordered_map<ServiceKey, Service> m_services;
};

}  // namespace jaymast
