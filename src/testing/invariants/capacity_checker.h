#pragma once

#include <cstdint>

#include "base/resources.h"
#include "testing/invariants/invariant_checker.h"
#include "testing/invariants/running_tasks.h"

namespace jaymast {

/// G1: no upstream runs more than its capacity. Each preview holds one connection of the runner.
class CapacityChecker final : public InvariantChecker {
 public:
  explicit CapacityChecker(const Facts& facts) : InvariantChecker("G1 capacity", facts) {}

 private:
  void OnEvent(const Event& event) override {
    if (!m_running.OnEvent(event)) return;
    const auto upstream = facts().upstreams.find(event.upstream);
    if (upstream == facts().upstreams.end()) return Report(event, "the upstream does not exist");
    Resources used;
    std::int64_t connections = 0;
    for (const auto& [place, team] : m_running.running()) {
      if (place.first != event.upstream) continue;
      const TaskSpec& spec = facts().Spec(place.second.task);
      used += spec.demand;
      if (!IsDurable(spec)) ++connections;
    }
    if (!used.FitsIn(upstream->second.capacity)) Report(event, "the running tasks exceed the capacity of the upstream");
    if (connections > upstream->second.connections) Report(event, "the previews exceed the runner's connections");
  }

  RunningTasks m_running;
};

}  // namespace jaymast
