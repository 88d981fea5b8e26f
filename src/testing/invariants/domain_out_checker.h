#pragma once

#include "testing/invariants/config_history.h"
#include "testing/invariants/invariant_checker.h"

namespace jaymast {

/// G5: no task starts in a failure domain a few seconds after it was taken out of service.
class DomainOutChecker final : public InvariantChecker {
 public:
  explicit DomainOutChecker(const Facts& facts) : InvariantChecker("G5 domain out", facts), m_history(facts) {}

 private:
  void OnEvent(const Event& event) override {
    m_history.OnEvent(event);
    if (event.kind != EventKind::kRunnerStarted) return;
    const auto upstream = facts().upstreams.find(event.upstream);
    if (upstream == facts().upstreams.end()) return;
    const DomainId& domain = upstream->second.domain;
    const bool in_service = m_history.AnyUsable(
        event.time, [&domain](const ClusterConfig& config) { return !config.domains_out_of_service.contains(domain); });
    if (!in_service) Report(event, "failure domain " + domain.value() + " is out of service");
  }

  ConfigHistory m_history;
};

}  // namespace jaymast
