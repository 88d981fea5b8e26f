#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>

#include "base/enum_names.h"
#include "testing/invariants/invariant_checker.h"
#include "testing/invariants/refusal.h"

namespace jaymast {

/// G7: what was answered as not run did not run: responses to callers, ends of tasks and single attempts.
class VerdictChecker final : public InvariantChecker {
 public:
  explicit VerdictChecker(const Facts& facts) : InvariantChecker("G7 verdict", facts) {}

 private:
  using Attempt = std::tuple<TaskId, std::int64_t, UpstreamId>;

  void OnEvent(const Event& event) override {
    const bool not_run = event.verdict == ToString(Verdict::kNotRun);
    if (event.kind == EventKind::kRunnerStarted) OnStarted(event);
    if (event.kind == EventKind::kStartAnswered && not_run) OnAttemptRefused(event);
    if (event.kind == EventKind::kTaskEnded && not_run) OnTaskEnded(event);
    if (event.kind == EventKind::kReplySent) m_replies[event.request] = event;
  }

  void OnStarted(const Event& event) {
    m_started_tasks.insert(event.task);
    m_started_bodies[facts().Spec(event.task).body] = event;
    m_started_attempts.insert(Attempt{event.task, event.attempt, event.upstream});
    if (m_refused_attempts.contains(Attempt{event.task, event.attempt, event.upstream})) {
      Report(event, "the attempt was reported as not run before it started");
    }
    if (m_ended_not_run.contains(event.task)) Report(event, "the task ended as not run before it started");
  }

  void OnAttemptRefused(const Event& event) {
    const Attempt attempt{event.task, event.attempt, event.upstream};
    m_refused_attempts.insert(attempt);
    if (m_started_attempts.contains(attempt)) Report(event, "the attempt is reported as not run but started");
  }

  void OnTaskEnded(const Event& event) {
    m_ended_not_run.insert(event.task);
    if (m_started_tasks.contains(event.task)) Report(event, "the task ended as not run but started");
  }

  /// Work that several requests asked for may have run if any of them was not refused.
  void OnEnd() override {
    std::set<std::string> accepted;
    for (const auto& [id, record] : facts().callers) {
      const auto reply = m_replies.find(id);
      const bool refused = reply != m_replies.end() && IsRefusal(reply->second);
      if (record.asks_for_work && !refused) accepted.insert(record.bodies.begin(), record.bodies.end());
    }
    for (const auto& [id, record] : facts().callers) {
      for (const std::string& body : record.bodies) {
        if (!record.asks_for_work || accepted.contains(body) || !m_started_bodies.contains(body)) continue;
        Report(m_replies[id], "request " + std::to_string(id) + " was refused as not run but its task started");
      }
    }
  }

  std::set<TaskId> m_started_tasks;
  std::set<TaskId> m_ended_not_run;
  std::set<Attempt> m_started_attempts;
  std::set<Attempt> m_refused_attempts;
  std::map<std::string, Event> m_started_bodies;
  std::map<RequestId, Event> m_replies;
};

}  // namespace jaymast
