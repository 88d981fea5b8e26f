#include "timeline/event_merger.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "timeline/causality.h"

namespace jaymast {
namespace {

/// Events of one process that have not been merged.
struct Lane {
  std::deque<const Event*> pending;
  HybridTime last;
  bool started = false;
};

class Merger {
 public:
  explicit Merger(const std::vector<Event>& events) {
    for (const Event& event : events) {
      m_lanes[event.process].pending.push_back(&event);
      for (const std::string& fact : FactsEstablishedBy(event)) m_facts.try_emplace(fact);
    }
    m_result.reserve(events.size());
  }

  std::vector<TimelineEvent> Run() {
    for (auto& [process, lane] : m_lanes) Queue(process, lane);
    while (!m_ready.empty() || !m_blocked.empty()) {
      if (m_ready.empty()) ForceEarliest();
      const std::string process = std::get<std::string>(*m_ready.begin());
      m_ready.erase(m_ready.begin());
      Emit(process, m_lanes[process]);
    }
    return std::move(m_result);
  }

 private:
  /// A fact that some event establishes: the first such event once it is merged, and the lanes that wait for it.
  struct Fact {
    std::optional<std::size_t> event;
    std::vector<std::string> waiting;
  };

  /// Adds the first event of a lane to the ready events, or registers the lane at the fact that it waits for.
  void Queue(const std::string& process, Lane& lane) {
    if (lane.pending.empty()) return;
    for (const std::string& name : FactsRequiredBy(*lane.pending.front())) {
      const auto fact = m_facts.find(name);
      if (fact == m_facts.end() || fact->second.event) continue;
      fact->second.waiting.push_back(process);
      m_blocked.insert(process);
      return;
    }
    m_ready.emplace(HybridOf(lane), process);
  }

  HybridTime HybridOf(const Lane& lane) const {
    const Event& event = *lane.pending.front();
    std::optional<HybridTime> previous;
    if (lane.started) previous = lane.last;
    for (const std::string& name : FactsRequiredBy(event)) {
      const std::optional<std::size_t> cause = CauseOf(name);
      if (cause) previous = std::max(previous.value_or(m_result[*cause].time), m_result[*cause].time);
    }
    return previous ? After(*previous, event.time) : HybridTime{event.time, 0};
  }

  std::optional<std::size_t> CauseOf(const std::string& name) const {
    const auto fact = m_facts.find(name);
    return fact == m_facts.end() ? std::nullopt : fact->second.event;
  }

  std::optional<std::size_t> LatestForeignCause(const Event& event) const {
    std::optional<std::size_t> latest;
    for (const std::string& name : FactsRequiredBy(event)) {
      const std::optional<std::size_t> cause = CauseOf(name);
      if (cause && m_result[*cause].event.process != event.process) latest = std::max(latest, cause);
    }
    return latest;
  }

  void Emit(const std::string& process, Lane& lane) {
    const Event& event = *lane.pending.front();
    lane.last = HybridOf(lane);
    lane.started = true;
    m_result.push_back(TimelineEvent{event, lane.last, LatestForeignCause(event)});
    lane.pending.pop_front();
    for (const std::string& name : FactsEstablishedBy(event)) Establish(m_facts[name]);
    Queue(process, lane);
  }

  void Establish(Fact& fact) {
    if (fact.event) return;
    fact.event = m_result.size() - 1;
    for (const std::string& process : std::exchange(fact.waiting, {})) {
      // A forced lane has moved on and is no longer blocked here.
      if (m_blocked.erase(process) > 0) Queue(process, m_lanes[process]);
    }
  }

  /// Releases the blocked event with the earliest clock. Needed when logs contradict each other.
  void ForceEarliest() {
    const auto earlier = [this](const std::string& a, const std::string& b) {
      return m_lanes[a].pending.front()->time < m_lanes[b].pending.front()->time;
    };
    const std::string process = *std::min_element(m_blocked.begin(), m_blocked.end(), earlier);
    m_blocked.erase(process);
    m_ready.emplace(HybridOf(m_lanes[process]), process);
  }

  std::map<std::string, Lane> m_lanes;
  std::unordered_map<std::string, Fact> m_facts;
  std::set<std::tuple<HybridTime, std::string>> m_ready;  ///< first event of each lane that is not blocked
  std::set<std::string> m_blocked;
  std::vector<TimelineEvent> m_result;
};

}  // namespace

std::vector<TimelineEvent> MergeEvents(const std::vector<Event>& events) { return Merger(events).Run(); }

}  // namespace jaymast
