#pragma once

#include <map>
#include <set>
#include <string>

#include "testing/invariants/config_history.h"
#include "testing/invariants/invariant_checker.h"
#include "testing/invariants/refusal.h"

namespace jaymast {

/// G3: work runs only for the team whose valid key accompanied the request.
class KeysChecker final : public InvariantChecker {
 public:
  explicit KeysChecker(const Facts& facts) : InvariantChecker("G3 keys", facts), m_history(facts) {}

 private:
  void OnEvent(const Event& event) override {
    m_history.OnEvent(event);
    if (event.kind == EventKind::kRequestReceived) OnReceived(event);
    if (event.kind == EventKind::kReplySent) OnReply(event);
    if (event.kind == EventKind::kRunnerStarted) OnStarted(event);
  }

  void OnReceived(const Event& event) {
    const auto caller = facts().callers.find(event.request);
    if (caller == facts().callers.end() || !m_checked.insert(event.request).second) return;
    const CallerRecord& record = caller->second;
    const bool valid = m_history.AnyUsable(event.time, [&record](const ClusterConfig& config) {
      const auto key = config.keys.find(record.key);
      return key != config.keys.end() && key->second.team == record.team;
    });
    if (!valid) m_unauthorized.insert(event.request);
    if (!valid || !record.asks_for_work) return;
    for (const std::string& body : record.bodies) m_authorized[body] = record.team;
  }

  void OnReply(const Event& event) {
    OnReceived(event);  // only if the receipt was not logged
    if (!m_unauthorized.contains(event.request)) return;
    if (!IsRefusal(event)) Report(event, "a request without a valid key was accepted");
  }

  void OnStarted(const Event& event) {
    if (facts().callers.empty()) return;
    const TaskSpec& spec = facts().Spec(event.task);
    if (spec.body.empty()) return;  // started by an operator's intent, not by a submission
    const auto authorized = m_authorized.find(spec.body);
    if (authorized == m_authorized.end()) return Report(event, "no request with a valid key asked for this task");
    if (authorized->second != event.team) Report(event, "the key belongs to team " + authorized->second.value());
  }

  ConfigHistory m_history;
  std::set<RequestId> m_checked;
  std::set<RequestId> m_unauthorized;
  std::map<std::string, TeamId> m_authorized;  ///< team of the valid key, by task body
};

}  // namespace jaymast
