#include "placement/upstream_table.h"

#include <algorithm>
#include <limits>
#include <string>

namespace jaymast {
namespace {

/// Fits no demand, because demands are not negative.
constexpr Resources kUnschedulable{-1, -1, -1, -1};

double Inverse(std::int64_t amount) { return amount > 0 ? 1.0 / static_cast<double>(amount) : 0.0; }

void RaiseTo(Resources& largest, const Resources& free) {
  largest.cpu_millis = std::max(largest.cpu_millis, free.cpu_millis);
  largest.memory_mb = std::max(largest.memory_mb, free.memory_mb);
  largest.accelerators = std::max(largest.accelerators, free.accelerators);
  largest.slots = std::max(largest.slots, free.slots);
}

}  // namespace

void UpstreamTable::Put(const UpstreamInfo& info) {
  const Index domain = Intern(m_domains, info.domain.value());
  auto known = m_index.find(info.id);
  if (known != m_index.end() && m_rows[known->second].domain != domain) {
    Remove(info.id);
    known = m_index.end();
  }
  if (known == m_index.end()) {
    const Index index = AllocateRow(domain);
    m_ids[index] = info.id;
    known = m_index.emplace(info.id, index).first;
  }
  Row& row = m_rows[known->second];
  if (row.present) {
    CountShape(row, -1);
    m_capacity -= row.capacity;
  }
  row.present = true;
  row.capacity = info.capacity;
  row.connections = info.connections;
  row.leaving = info.leaving;
  row.domain = domain;
  row.rack = Intern(m_racks, info.domain.value() + '/' + info.rack);
  row.inverse = {Inverse(info.capacity.cpu_millis), Inverse(info.capacity.memory_mb),
                 Inverse(info.capacity.accelerators), Inverse(info.capacity.slots)};
  m_capacity += row.capacity;
  CountShape(row, 1);
  Refresh(known->second);
}

void UpstreamTable::Remove(const UpstreamId& id) {
  const auto known = m_index.find(id);
  if (known == m_index.end()) return;
  const Index index = known->second;
  CountShape(m_rows[index], -1);
  m_capacity -= m_rows[index].capacity;
  SetEligible(index, false);
  m_rows[index] = Row{};
  m_ids[index] = UpstreamId();
  --m_groups[index / kGroupSize].members;
  m_index.erase(known);
}

void UpstreamTable::SetEligible(Index index, bool eligible) {
  m_rows[index].eligible = eligible;
  Refresh(index);
}

void UpstreamTable::Allocate(Index index, const Resources& demand) {
  m_rows[index].used += demand;
  ++m_rows[index].tasks;
  Refresh(index);
}

void UpstreamTable::Free(Index index, const Resources& demand) {
  m_rows[index].used -= demand;
  --m_rows[index].tasks;
  Refresh(index);
}

void UpstreamTable::SetPreviewDemand(const Resources& preview_demand) {
  m_preview_demand = preview_demand;
  for (Index index = 0; index < m_rows.size(); ++index) Refresh(index);
}

std::optional<UpstreamTable::Index> UpstreamTable::Find(const UpstreamId& id) const {
  const auto known = m_index.find(id);
  if (known == m_index.end()) return std::nullopt;
  return known->second;
}

std::optional<UpstreamTable::Index> UpstreamTable::FindDomain(const DomainId& domain) const {
  const auto known = m_domains.find(domain.value());
  if (known == m_domains.end()) return std::nullopt;
  return known->second;
}

std::int64_t UpstreamTable::PreviewsIn(const Resources& free) const {
  std::int64_t free_previews = std::numeric_limits<std::int64_t>::max();
  const auto limit = [&free_previews](std::int64_t amount, std::int64_t preview_demand) {
    if (preview_demand > 0) free_previews = std::min(free_previews, std::max<std::int64_t>(amount, 0) / preview_demand);
  };
  limit(free.cpu_millis, m_preview_demand.cpu_millis);
  limit(free.memory_mb, m_preview_demand.memory_mb);
  limit(free.accelerators, m_preview_demand.accelerators);
  limit(free.slots, m_preview_demand.slots);
  return free_previews == std::numeric_limits<std::int64_t>::max() ? 0 : free_previews;
}

std::size_t UpstreamTable::MemoryBytes() const {
  constexpr std::size_t kHashNodeBytes = 64;  // node with key, index and bucket pointer
  const std::size_t names = m_index.size() + m_domains.size() + m_racks.size();
  return m_schedulable_free.capacity() * (sizeof(Resources) + sizeof(PackedResources) + sizeof(std::int32_t)) +
         m_rows.capacity() * sizeof(Row) + m_ids.capacity() * sizeof(UpstreamId) + m_groups.capacity() * sizeof(Group) +
         m_shapes.capacity() * sizeof(Shape) + names * kHashNodeBytes;
}

UpstreamTable::Index UpstreamTable::AllocateRow(Index domain) {
  for (Index group = 0; group < m_groups.size(); ++group) {
    if (m_groups[group].domain != domain || m_groups[group].members == kGroupSize) continue;
    ++m_groups[group].members;
    Index index = group * kGroupSize;
    while (m_rows[index].present) ++index;
    return index;
  }
  const auto index = static_cast<Index>(m_rows.size());
  m_groups.push_back({{}, domain, 1});
  m_rows.resize(index + kGroupSize);
  m_ids.resize(index + kGroupSize);
  m_schedulable_free.resize(index + kGroupSize, kUnschedulable);
  m_packed.resize(index + kGroupSize);
  m_free_previews.resize(index + kGroupSize);
  return index;
}

UpstreamTable::Index UpstreamTable::Intern(std::unordered_map<std::string, Index>& names, const std::string& name) {
  return names.emplace(name, static_cast<Index>(names.size())).first->second;
}

void UpstreamTable::CountShape(const Row& row, std::int64_t change) {
  const auto same = [&row](const Shape& shape) { return shape.domain == row.domain && shape.capacity == row.capacity; };
  const auto shape = std::find_if(m_shapes.begin(), m_shapes.end(), same);
  if (shape == m_shapes.end()) {
    m_shapes.push_back({row.capacity, row.domain, change});
    return;
  }
  shape->upstreams += change;
  if (shape->upstreams == 0) m_shapes.erase(shape);
}

void UpstreamTable::Refresh(Index index) {
  Row& row = m_rows[index];
  const bool is_schedulable = IsSchedulable(row);
  m_schedulable_free[index] = is_schedulable ? row.capacity - row.used : kUnschedulable;
  m_packed[index] = is_schedulable ? PackedResources::OfFree(m_schedulable_free[index]) : PackedResources();
  m_total_free_previews -= m_free_previews[index];
  m_schedulable_slots -= row.schedulable_slots;
  m_free_previews[index] = is_schedulable ? static_cast<std::int32_t>(PreviewsIn(m_schedulable_free[index])) : 0;
  row.schedulable_slots = is_schedulable ? row.capacity.slots : 0;
  m_total_free_previews += m_free_previews[index];
  m_schedulable_slots += row.schedulable_slots;
  RefreshGroup(index / kGroupSize);
}

void UpstreamTable::RefreshGroup(Index group) {
  Resources largest = kUnschedulable;
  const Index first = group * kGroupSize;
  for (Index index = first; index < first + kGroupSize; ++index) RaiseTo(largest, m_schedulable_free[index]);
  m_groups[group].max_free = PackedResources::OfFree(largest);
}

bool UpstreamTable::IsSchedulable(const Row& row) const {
  const bool has_connection = row.connections == 0 || row.tasks < row.connections;
  return row.present && row.eligible && !row.leaving && has_connection;
}

}  // namespace jaymast
