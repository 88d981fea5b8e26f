#pragma once

#include <vector>

#include "core/event.h"
#include "timeline/timeline_event.h"

namespace jaymast {

/// Merges the events of any number of processes into one time line, ordered by hybrid logical time.
///
/// The order of events of one process in the input is kept. An event comes after its causes even when the clock of its
/// process is behind; then its hybrid time is that of the cause. Events whose causes contradict each other are kept and
/// ordered by their clock.
///
/// @param events all events; the events of each process are in the order in which it logged them
/// @return the same events; complexity O(n log p) for n events of p processes
std::vector<TimelineEvent> MergeEvents(const std::vector<Event>& events);

}  // namespace jaymast
