#include "timeline/event_filter.h"

#include <map>

namespace jaymast {
namespace {

/// Teams of tasks and domains of upstreams, learned from the events that name both.
class Relations {
 public:
  explicit Relations(const std::vector<TimelineEvent>& events) {
    for (const TimelineEvent& item : events) {
      const Event& event = item.event;
      if (!event.task.empty() && !event.team.empty()) m_team_of.emplace(event.task, event.team);
      if (!event.upstream.empty() && !event.domain.empty()) m_domain_of.emplace(event.upstream, event.domain);
    }
  }

  std::string TeamOf(const Event& event) const {
    if (!event.team.empty()) return event.team.value();
    const auto found = m_team_of.find(event.task);
    return found == m_team_of.end() ? "" : found->second.value();
  }

  std::string DomainOf(const Event& event) const {
    if (!event.domain.empty()) return event.domain.value();
    const auto found = m_domain_of.find(event.upstream);
    return found == m_domain_of.end() ? "" : found->second.value();
  }

 private:
  std::map<TaskId, TeamId> m_team_of;
  std::map<UpstreamId, DomainId> m_domain_of;
};

bool Passes(const TimelineEvent& item, const EventFilter& filter, const Relations& relations) {
  if (!filter.task.empty() && item.event.task.value() != filter.task) return false;
  if (!filter.team.empty() && relations.TeamOf(item.event) != filter.team) return false;
  if (!filter.domain.empty() && relations.DomainOf(item.event) != filter.domain) return false;
  if (!filter.kinds.empty() && !filter.kinds.contains(item.event.kind)) return false;
  if (filter.from && item.time.physical < *filter.from) return false;
  return !filter.to || item.time.physical <= *filter.to;
}

}  // namespace

std::vector<TimelineEvent> FilterEvents(const std::vector<TimelineEvent>& events, const EventFilter& filter) {
  const Relations relations(events);
  std::vector<TimelineEvent> passed;
  std::vector<std::optional<std::size_t>> new_index(events.size());
  for (std::size_t i = 0; i < events.size(); ++i) {
    if (!Passes(events[i], filter, relations)) continue;
    new_index[i] = passed.size();
    passed.push_back(events[i]);
    std::optional<std::size_t>& cause = passed.back().cause;
    if (cause) cause = new_index[*cause];
  }
  return passed;
}

}  // namespace jaymast
