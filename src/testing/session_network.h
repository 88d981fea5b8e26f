#pragma once

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "base/time.h"

namespace jaymast {

/// Name of the platform (table service and instance list) as the end of a link.
inline constexpr const char* kPlatform = "platform";

/// Which parts of a session reach each other, and how long a message takes. Parts and failure domains have names.
class SessionNetwork {
 public:
  void Place(const std::string& node, const std::string& domain) { m_domains[node] = domain; }
  void Cut(const std::string& a, const std::string& b) { m_cuts.insert(std::minmax(a, b)); }
  void Heal(const std::string& a, const std::string& b) { m_cuts.erase(std::minmax(a, b)); }
  void HealAll() { m_cuts.clear(); }

  bool IsReachable(const std::string& a, const std::string& b) const {
    return !IsCut(a, b) && !IsCut(DomainOf(a), b) && !IsCut(a, DomainOf(b)) && !IsCut(DomainOf(a), DomainOf(b));
  }

  /// One-way delay between two parts.
  Duration Latency(const std::string& a, const std::string& b) const {
    return DomainOf(a) == DomainOf(b) ? kWithinDomain : kBetweenDomains;
  }

 private:
  static constexpr Duration kWithinDomain = std::chrono::microseconds(100);
  static constexpr Duration kBetweenDomains = std::chrono::microseconds(500);

  bool IsCut(const std::string& a, const std::string& b) const { return m_cuts.contains(std::minmax(a, b)); }

  std::string DomainOf(const std::string& node) const {
    const auto found = m_domains.find(node);
    return found == m_domains.end() ? node : found->second;
  }

  std::map<std::string, std::string> m_domains;
  std::set<std::pair<std::string, std::string>> m_cuts;
};

}  // namespace jaymast
