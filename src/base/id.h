#pragma once

#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace jaymast {

/// A string id whose type keeps ids of different kinds apart.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : m_value(std::move(value)) {}
  explicit Id(std::string_view value) : m_value(value) {}
  explicit Id(const char* value) : m_value(value) {}

  const std::string& value() const { return m_value; }
  bool empty() const { return m_value.empty(); }

  friend bool operator==(const Id& a, const Id& b) { return a.m_value == b.m_value; }
  friend auto operator<=>(const Id& a, const Id& b) { return a.m_value <=> b.m_value; }
  friend std::ostream& operator<<(std::ostream& out, const Id& id) { return out << id.m_value; }

 private:
  std::string m_value;
};

/// Identifies one incarnation of an entry: failure domain, name from the settings, and a random suffix for each start,
/// joined by dots.
using EntryId = Id<struct EntryTag>;
using UpstreamId = Id<struct UpstreamTag>;
using DomainId = Id<struct DomainTag>;
using TeamId = Id<struct TeamTag>;
using TaskId = Id<struct TaskTag>;
using GangId = Id<struct GangTag>;
using KeyId = Id<struct KeyTag>;
using PlanId = Id<struct PlanTag>;
using TransactionId = Id<struct TransactionTag>;

/// Returns the failure domain of an entry, the part of its id before the first dot.
inline DomainId DomainOf(const EntryId& entry) { return DomainId(entry.value().substr(0, entry.value().find('.'))); }

}  // namespace jaymast

template <typename Tag>
struct std::hash<jaymast::Id<Tag>> {
  std::size_t operator()(const jaymast::Id<Tag>& id) const noexcept { return std::hash<std::string>()(id.value()); }
};
