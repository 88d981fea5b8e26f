#pragma once

#include <map>
#include <utility>

#include "base/id.h"
#include "core/event.h"
#include "core/upstream_protocol.h"

namespace jaymast {

/// Attempts that run at each upstream, from the events of the runners.
class RunningTasks {
 public:
  using Place = std::pair<UpstreamId, AttemptId>;

  /// Returns whether the event started an attempt.
  bool OnEvent(const Event& event) {
    const Place place{event.upstream, AttemptId{event.task, event.attempt}};
    if (event.kind == EventKind::kRunnerEnded) m_running.erase(place);
    if (event.kind != EventKind::kRunnerStarted) return false;
    m_running[place] = event.team;
    return true;
  }

  const std::map<Place, TeamId>& running() const { return m_running; }

 private:
  std::map<Place, TeamId> m_running;
};

}  // namespace jaymast
