#include "placement/worker_table.h"

#include <algorithm>
#include <limits>
#include <string>

namespace jaymast {
namespace {

/// Fits no demand, because demands are not negative.
constexpr Resources kClosed{-1, -1, -1, -1};

double Inverse(std::int64_t amount) { return amount > 0 ? 1.0 / static_cast<double>(amount) : 0.0; }

void RaiseTo(Resources& largest, const Resources& free) {
  largest.cpu_millis = std::max(largest.cpu_millis, free.cpu_millis);
  largest.memory_mb = std::max(largest.memory_mb, free.memory_mb);
  largest.accelerators = std::max(largest.accelerators, free.accelerators);
  largest.slots = std::max(largest.slots, free.slots);
}

}  // namespace

void WorkerTable::Put(const UpstreamInfo& info) {
  const Index domain = Intern(m_domains, info.domain.value());
  auto known = m_index.find(info.id);
  if (known != m_index.end() && m_rows[known->second].domain != domain) {
    Remove(info.id);
    known = m_index.end();
  }
  if (known == m_index.end()) {
    const Index index = Allocate(domain);
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

void WorkerTable::Remove(const UpstreamId& id) {
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

void WorkerTable::SetEligible(Index index, bool eligible) {
  m_rows[index].eligible = eligible;
  Refresh(index);
}

void WorkerTable::Use(Index index, const Resources& demand) {
  m_rows[index].used += demand;
  ++m_rows[index].tasks;
  Refresh(index);
}

void WorkerTable::Free(Index index, const Resources& demand) {
  m_rows[index].used -= demand;
  --m_rows[index].tasks;
  Refresh(index);
}

void WorkerTable::SetPreviewUnit(const Resources& unit) {
  m_preview_unit = unit;
  for (Index index = 0; index < m_rows.size(); ++index) Refresh(index);
}

std::optional<WorkerTable::Index> WorkerTable::Find(const UpstreamId& id) const {
  const auto known = m_index.find(id);
  if (known == m_index.end()) return std::nullopt;
  return known->second;
}

std::optional<WorkerTable::Index> WorkerTable::FindDomain(const DomainId& domain) const {
  const auto known = m_domains.find(domain.value());
  if (known == m_domains.end()) return std::nullopt;
  return known->second;
}

std::int64_t WorkerTable::UnitsIn(const Resources& free) const {
  std::int64_t units = std::numeric_limits<std::int64_t>::max();
  const auto limit = [&units](std::int64_t amount, std::int64_t unit) {
    if (unit > 0) units = std::min(units, std::max<std::int64_t>(amount, 0) / unit);
  };
  limit(free.cpu_millis, m_preview_unit.cpu_millis);
  limit(free.memory_mb, m_preview_unit.memory_mb);
  limit(free.accelerators, m_preview_unit.accelerators);
  limit(free.slots, m_preview_unit.slots);
  return units == std::numeric_limits<std::int64_t>::max() ? 0 : units;
}

std::size_t WorkerTable::MemoryBytes() const {
  constexpr std::size_t kHashNodeBytes = 64;  // a node with its key, an index and a bucket pointer
  const std::size_t names = m_index.size() + m_domains.size() + m_racks.size();
  return m_open.capacity() * (sizeof(Resources) + sizeof(PackedResources)) + m_rows.capacity() * sizeof(Row) +
         m_ids.capacity() * sizeof(UpstreamId) + m_groups.capacity() * sizeof(Group) +
         m_shapes.capacity() * sizeof(Shape) + names * kHashNodeBytes;
}

WorkerTable::Index WorkerTable::Allocate(Index domain) {
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
  m_open.resize(index + kGroupSize, kClosed);
  m_packed.resize(index + kGroupSize);
  return index;
}

WorkerTable::Index WorkerTable::Intern(std::unordered_map<std::string, Index>& names, const std::string& name) {
  return names.emplace(name, static_cast<Index>(names.size())).first->second;
}

void WorkerTable::CountShape(const Row& row, std::int64_t change) {
  const auto same = [&row](const Shape& shape) { return shape.domain == row.domain && shape.capacity == row.capacity; };
  const auto shape = std::find_if(m_shapes.begin(), m_shapes.end(), same);
  if (shape == m_shapes.end()) {
    m_shapes.push_back({row.capacity, row.domain, change});
    return;
  }
  shape->workers += change;
  if (shape->workers == 0) m_shapes.erase(shape);
}

void WorkerTable::Refresh(Index index) {
  Row& row = m_rows[index];
  const bool is_open = IsOpen(row);
  m_open[index] = is_open ? row.capacity - row.used : kClosed;
  m_packed[index] = is_open ? PackedResources::OfFree(m_open[index]) : PackedResources();
  m_open_units -= row.units;
  m_open_slots -= row.open_slots;
  row.units = is_open ? UnitsIn(m_open[index]) : 0;
  row.open_slots = is_open ? row.capacity.slots : 0;
  m_open_units += row.units;
  m_open_slots += row.open_slots;
  RefreshGroup(index / kGroupSize);
}

void WorkerTable::RefreshGroup(Index group) {
  Resources largest = kClosed;
  const Index first = group * kGroupSize;
  for (Index index = first; index < first + kGroupSize; ++index) RaiseTo(largest, m_open[index]);
  m_groups[group].max_free = PackedResources::OfFree(largest);
}

bool WorkerTable::IsOpen(const Row& row) const {
  const bool has_connection = row.connections == 0 || row.tasks < row.connections;
  return row.present && row.eligible && !row.leaving && has_connection;
}

}  // namespace jaymast
