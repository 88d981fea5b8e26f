#pragma once

#include <algorithm>
#include <cstdint>
#include <map>

#include "base/time.h"
#include "core/event.h"
#include "testing/invariants/facts.h"
#include "testing/invariants/invariant_checker.h"

namespace jaymast {

/// Which configuration versions may be in force at a time, from the events of commits and acceptances.
class ConfigHistory {
 public:
  explicit ConfigHistory(const Facts& facts) : m_facts(facts) {}

  void OnEvent(const Event& event) {
    if (event.kind == EventKind::kConfigAccepted) m_accepted.try_emplace(event.config_version, event.time);
    if (IsCommitEvidence(event.kind)) m_newest = std::max(m_newest, event.config_version);
  }

  /// Oldest version that may still be used: the newest that was accepted a few seconds ago.
  std::int64_t Oldest(Time now) const {
    std::int64_t oldest = 0;
    for (const auto& [version, accepted] : m_accepted) {
      if (accepted + kFewSeconds < now) oldest = version;
    }
    return oldest;
  }

  /// Whether a predicate holds for some version that may be in force.
  template <typename Predicate>
  bool AnyUsable(Time now, Predicate predicate) const {
    const auto first = m_facts.configs.lower_bound(Oldest(now));
    const auto last = m_facts.configs.upper_bound(m_newest);
    for (auto it = first; it != last && it != m_facts.configs.end(); ++it) {
      if (predicate(it->second)) return true;
    }
    return false;
  }

 private:
  static bool IsCommitEvidence(EventKind kind) {
    return kind == EventKind::kConfigCommitted || kind == EventKind::kConfigInstalled ||
           kind == EventKind::kConfigAccepted;
  }

  const Facts& m_facts;
  std::map<std::int64_t, Time> m_accepted;
  std::int64_t m_newest = 0;
};

}  // namespace jaymast
