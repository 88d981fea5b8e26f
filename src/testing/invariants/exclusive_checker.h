#pragma once

#include <string>

#include "testing/invariants/invariant_checker.h"
#include "testing/invariants/running_tasks.h"

namespace jaymast {

/// G2: no exclusive task runs twice at the same time.
class ExclusiveChecker final : public InvariantChecker {
 public:
  explicit ExclusiveChecker(const Facts& facts) : InvariantChecker("G2 exclusive", facts) {}

 private:
  void OnEvent(const Event& event) override {
    if (!m_running.OnEvent(event)) return;
    if (facts().Spec(event.task).semantics != Semantics::kExclusive) return;
    const RunningTasks::Place started{event.upstream, AttemptId{event.task, event.attempt}};
    const std::string work = facts().WorkKey(event.task);
    for (const auto& [place, team] : m_running.running()) {
      if (place == started || facts().WorkKey(place.second.task) != work) continue;
      Report(event, "the task also runs at " + place.first.value());
    }
  }

  RunningTasks m_running;
};

}  // namespace jaymast
