#pragma once

#include <cctype>
#include <map>
#include <string>
#include <utility>

#include "testing/invariants/config_history.h"
#include "testing/invariants/invariant_checker.h"

namespace jaymast {

/// G9: an upstream that is leaving gets no new work a few seconds after its owner could learn of it.
class LeavingChecker final : public InvariantChecker {
 public:
  explicit LeavingChecker(const Facts& facts) : InvariantChecker("G9 leaving", facts), m_history(facts) {}

 private:
  void OnEvent(const Event& event) override {
    m_history.OnEvent(event);
    if (event.kind == EventKind::kRunnerFenced) m_owners[{event.upstream, event.epoch}] = event.other;
    if (event.kind != EventKind::kRunnerStarted) return;
    const bool in_service = m_history.AnyUsable(
        event.time, [&event](const ClusterConfig& config) { return !config.upstreams_out.contains(event.upstream); });
    if (!in_service) Report(event, "the configuration takes the upstream out of service");
    const EntryId& owner = m_owners[{event.upstream, event.epoch}];
    for (const auto& [told, since] : facts().leaving_told) {
      if (told.first != event.upstream || !IsIncarnationOf(owner, told.second)) continue;
      if (since + kFewSeconds < event.time) Report(event, "its owner " + owner.value() + " knows that it is leaving");
    }
  }

  /// An entry id is the name of the instance, a separator and a suffix of the incarnation.
  static bool IsIncarnationOf(const EntryId& entry, const std::string& name) {
    const std::string& id = entry.value();
    if (!id.starts_with(name)) return false;
    return id.size() == name.size() || std::isalnum(static_cast<unsigned char>(id[name.size()])) == 0;
  }

  ConfigHistory m_history;
  std::map<std::pair<UpstreamId, std::int64_t>, EntryId> m_owners;
};

}  // namespace jaymast
