#pragma once

#include <cstdint>
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
    if (event.kind == EventKind::kOwnerFenced) m_owners[{event.upstream, event.epoch}] = event.process;
    if (event.kind != EventKind::kRunnerStarted) return;
    const bool in_service = m_history.AnyUsable(event.time, [&event](const ClusterConfig& config) {
      return !config.upstreams_out_of_service.contains(event.upstream);
    });
    if (!in_service) Report(event, "the configuration takes the upstream out of service");
    const std::string& owner = m_owners[{event.upstream, event.epoch}];
    const auto told = facts().leaving_told.find({event.upstream, owner});
    if (told == facts().leaving_told.end() || event.time <= told->second + kFewSeconds) return;
    Report(event, "its owner " + owner + " knows that it is leaving");
  }

  ConfigHistory m_history;
  std::map<std::pair<UpstreamId, std::int64_t>, std::string> m_owners;  ///< process by epoch
};

}  // namespace jaymast
