#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/id.h"
#include "base/resources.h"
#include "model/upstream_info.h"
#include "placement/packed_resources.h"

namespace jaymast {

/// Stores capacity and allocations of upstreams in contiguous arrays indexed by small integers.
///
/// Each group of rows belongs to one failure domain and keeps the largest free amount of each resource, so that a
/// search can skip a whole group. An upstream is schedulable if it may get new tasks: eligible, not leaving and below
/// its limit of connections.
class UpstreamTable {
 public:
  using Index = std::uint32_t;

  static constexpr Index kGroupSize = 16;
  static constexpr std::size_t kResourceKinds = 4;

  struct Row {
    Resources capacity;
    Resources used;
    std::array<double, kResourceKinds> inverse{};  ///< 1 / capacity, 0 where there is no capacity
    std::int64_t schedulable_slots = 0;            ///< free and used slots, 0 if not schedulable
    std::int64_t tasks = 0;
    std::int64_t connections = 0;  ///< maximum number of tasks, 0 if unlimited
    Index domain = 0;
    Index rack = 0;
    bool present = false;
    bool eligible = false;
    bool leaving = false;
  };

  struct Group {
    PackedResources max_free;
    Index domain = 0;
    Index members = 0;
  };

  void Put(const UpstreamInfo& info);
  void Remove(const UpstreamId& id);
  void SetEligible(Index index, bool eligible);

  void Allocate(Index index, const Resources& demand);
  void Free(Index index, const Resources& demand);

  /// Sets the demand of one preview. Headroom is counted in previews.
  void SetPreviewDemand(const Resources& preview_demand);

  std::optional<Index> Find(const UpstreamId& id) const;
  std::optional<Index> FindDomain(const DomainId& domain) const;
  const UpstreamId& id(Index index) const { return m_ids[index]; }
  const Row& row(Index index) const { return m_rows[index]; }

  /// Free capacity of an upstream. All amounts are negative if it is not schedulable.
  const Resources& schedulable_free(Index index) const { return m_schedulable_free[index]; }

  /// Whether the upstream is schedulable and the demand fits into its free capacity.
  bool Fits(Index index, const Resources& demand, PackedResources packed_demand) const {
    return packed_demand.MayFitIn(m_packed[index]) && demand.FitsIn(m_schedulable_free[index]);
  }

  /// Number of previews that fit into the upstream now, 0 if it is not schedulable.
  std::int64_t free_previews(Index index) const { return m_free_previews[index]; }

  const std::vector<Group>& groups() const { return m_groups; }
  std::size_t size() const { return m_index.size(); }

  /// Number of rows, including unoccupied ones.
  std::size_t slots() const { return m_rows.size(); }

  std::size_t domain_count() const { return m_domains.size(); }
  const Resources& capacity() const { return m_capacity; }

  /// Number of previews that fit into the schedulable upstreams now.
  std::int64_t total_free_previews() const { return m_total_free_previews; }

  /// Free and used slots of the schedulable upstreams.
  std::int64_t schedulable_slots() const { return m_schedulable_slots; }

  /// Number of previews that fit into an amount of free capacity.
  std::int64_t PreviewsIn(const Resources& free) const;

  /// A capacity and the number of upstreams of a domain that have it, to detect impossible demands.
  struct Shape {
    Resources capacity;
    Index domain = 0;
    std::int64_t upstreams = 0;
  };
  const std::vector<Shape>& shapes() const { return m_shapes; }

  std::size_t MemoryBytes() const;

 private:
  Index AllocateRow(Index domain);
  Index Intern(std::unordered_map<std::string, Index>& names, const std::string& name);
  void CountShape(const Row& row, std::int64_t change);
  void Refresh(Index index);
  void RefreshGroup(Index group);
  bool IsSchedulable(const Row& row) const;

  std::vector<PackedResources> m_packed;
  std::vector<Resources> m_schedulable_free;
  std::vector<std::int32_t> m_free_previews;
  std::vector<Row> m_rows;
  std::vector<UpstreamId> m_ids;
  std::vector<Group> m_groups;
  std::vector<Shape> m_shapes;
  std::unordered_map<UpstreamId, Index> m_index;
  std::unordered_map<std::string, Index> m_domains;
  std::unordered_map<std::string, Index> m_racks;
  Resources m_capacity;
  Resources m_preview_demand{0, 0, 0, 1};
  std::int64_t m_total_free_previews = 0;
  std::int64_t m_schedulable_slots = 0;
};

}  // namespace jaymast
