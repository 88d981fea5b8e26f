#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "testing/invariants/invariant_checker.h"

namespace jaymast {

/// G10: a planned stop answers the requests in flight and lets the tasks of its upstreams run on.
class GracefulStopChecker final : public InvariantChecker {
 public:
  explicit GracefulStopChecker(const Facts& facts) : InvariantChecker("G10 graceful stop", facts) {}

 private:
  static constexpr std::string_view kJoining = "joining";
  static constexpr std::string_view kDraining = "draining";
  static constexpr std::string_view kStopped = "stopped";
  static constexpr std::string_view kLapsed = "lapsed";
  static constexpr std::string_view kUnavailable = "503";
  static constexpr std::string_view kStoreUnavailable = "jaymast.store.unavailable";

  void OnEvent(const Event& event) override {
    switch (event.kind) {
      case EventKind::kRequestReceived:
        m_open[event.process][event.request] = event;
        break;
      case EventKind::kReplySent:
        OnReply(event);
        break;
      case EventKind::kCallerLeft:
        m_open[event.process].erase(event.request);
        break;
      case EventKind::kEntryState:
        OnState(event);
        break;
      case EventKind::kOwnerFenced:
        m_owner[event.upstream] = event.process;
        break;
      case EventKind::kRunnerEnded:
        OnEnded(event);
        break;
      case EventKind::kFault:
        m_faults = true;
        break;
      default:
        break;
    }
  }

  void OnReply(const Event& event) {
    m_open[event.process].erase(event.request);
    if (m_in_flight.erase(event.request) == 0) return;
    // Under a fault of the platform an answer may name that fault; the stop did not cause it.
    if (m_faults && event.detail.ends_with(kStoreUnavailable)) return;
    if (event.detail.starts_with(kUnavailable)) Report(event, "a request in flight was refused because of the stop");
  }

  void OnState(const Event& event) {
    // A process that was killed took its open requests with it; G6 reports those of a process that lives on.
    if (event.detail == kJoining) m_open[event.process].clear();
    if (event.detail == kDraining) {
      m_draining.insert(event.process);
      for (const auto& [id, request] : m_open[event.process]) m_in_flight.insert(id);
      for (const auto& [upstream, owner] : m_owner) {
        if (owner == event.process) m_handed_over.insert(upstream);
      }
    }
    if (event.detail != kStopped || !m_draining.contains(event.process)) return;
    for (const auto& [id, request] : m_open[event.process]) {
      Report(event, "request " + std::to_string(id) + " was in flight");
    }
  }

  /// Without another fault, the lease of a task lapses only if the handover failed.
  void OnEnded(const Event& event) {
    if (m_faults || event.detail != kLapsed || !m_handed_over.contains(event.upstream)) return;
    Report(event, "the task was not renewed during the handover");
  }

  std::map<std::string, std::map<RequestId, Event>> m_open;  ///< unanswered requests by process
  std::set<RequestId> m_in_flight;                           ///< unanswered when the process began to drain
  std::set<std::string> m_draining;
  std::map<UpstreamId, std::string> m_owner;
  std::set<UpstreamId> m_handed_over;
  bool m_faults = false;
};

}  // namespace jaymast
