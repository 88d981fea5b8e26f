#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "core/event.h"
#include "timeline/timeline_event.h"

namespace jaymast {

/// Which events of a time line to show. Empty conditions accept every event.
struct EventFilter {
  std::string task;
  std::string team;    ///< also accepts events without a team whose task belongs to the team
  std::string domain;  ///< also accepts events without a domain whose upstream is in the domain
  std::set<EventKind> kinds;
  std::optional<Time> from;  ///< first hybrid time to show
  std::optional<Time> to;    ///< last hybrid time to show
};

/// The events that pass a filter, in their order. Causes that do not pass are removed.
std::vector<TimelineEvent> FilterEvents(const std::vector<TimelineEvent>& events, const EventFilter& filter);

}  // namespace jaymast
