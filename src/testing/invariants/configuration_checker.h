#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "testing/invariants/config_history.h"
#include "testing/invariants/invariant_checker.h"

namespace jaymast {

/// G11: an accepted configuration is in force everywhere within seconds, and no process goes back to an older one.
class ConfigurationChecker final : public InvariantChecker {
 public:
  explicit ConfigurationChecker(const Facts& facts) : InvariantChecker("G11 configuration", facts), m_history(facts) {}

 private:
  void OnEvent(const Event& event) override {
    m_history.OnEvent(event);
    if (event.kind == EventKind::kConfigCommitted) OnCommitted(event);
    if (event.kind == EventKind::kConfigAccepted && !facts().configs.contains(event.config_version)) {
      Report(event, "an accepted version is not in the table");
    }
    if (event.kind != EventKind::kConfigInstalled && event.kind != EventKind::kStartSent) return;
    std::int64_t& installed = m_installed[event.process];
    if (event.config_version < installed) Report(event, "the process went back to an older version");
    if (event.config_version < m_history.Oldest(event.time)) Report(event, "a newer version was accepted seconds ago");
    installed = std::max(installed, event.config_version);
  }

  void OnCommitted(const Event& event) {
    if (event.config_version <= m_committed) Report(event, "a version was committed twice or out of order");
    m_committed = std::max(m_committed, event.config_version);
  }

  ConfigHistory m_history;
  std::map<std::string, std::int64_t> m_installed;
  std::int64_t m_committed = 0;
};

}  // namespace jaymast
