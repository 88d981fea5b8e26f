#pragma once

#include <algorithm>
#include <cstdint>

#include "testing/invariants/config_history.h"
#include "testing/invariants/invariant_checker.h"
#include "testing/invariants/running_tasks.h"

namespace jaymast {

/// G4: no start brings a team above its upper limit. Tasks that ran before a limit was lowered may end first.
class LimitChecker final : public InvariantChecker {
 public:
  explicit LimitChecker(const Facts& facts) : InvariantChecker("G4 limit", facts), m_history(facts) {}

 private:
  void OnEvent(const Event& event) override {
    m_history.OnEvent(event);
    if (!m_running.OnEvent(event)) return;
    const auto& running = m_running.running();
    const std::int64_t count = std::count_if(running.begin(), running.end(),
                                             [&event](const auto& entry) { return entry.second == event.team; });
    const bool allowed = m_history.AnyUsable(event.time, [&](const ClusterConfig& config) {
      const auto team = config.teams.find(event.team);
      return team != config.teams.end() && count <= team->second.limit;
    });
    if (!allowed) Report(event, "the team runs " + std::to_string(count) + " tasks, more than its limit");
  }

  ConfigHistory m_history;
  RunningTasks m_running;
};

}  // namespace jaymast
