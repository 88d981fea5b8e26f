// Reports of the runners, results of tasks, and changes of ownership.
#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "configuration/config_store.h"
#include "limits/allotments.h"
#include "membership/membership.h"
#include "upstream/executor.h"

namespace jaymast {
namespace {

/// How often due reports are looked for, and the shortest time between two reports of a runner.
constexpr Duration kReportSweep = std::chrono::milliseconds(50);
constexpr Duration kMinReportInterval = std::chrono::milliseconds(100);

/// How long after the expected end of a task its runner is asked out of turn. Each report lists all tasks of the
/// runner.
constexpr Duration kOverdue = std::chrono::milliseconds(300);

constexpr Duration kOverrunSweep = std::chrono::seconds(1);
constexpr Duration kResendInterval = std::chrono::seconds(1);

/// Longer than any frame can be delayed between entries.
constexpr Duration kLostAttemptMemory = std::chrono::seconds(60);

Outcome OutcomeOf(RunnerTaskState state) {
  switch (state) {
    case RunnerTaskState::kSucceeded:
      return Outcome::kSucceeded;
    case RunnerTaskState::kFailed:
      return Outcome::kFailed;
    case RunnerTaskState::kStopped:
      return Outcome::kStopped;
    case RunnerTaskState::kCheckpointed:
      return Outcome::kCheckpointed;
    case RunnerTaskState::kRunning:
    case RunnerTaskState::kExpired:
      return Outcome::kExpired;
  }
  return Outcome::kExpired;
}

TaskSpec SpecOf(const RunnerTask& report) {
  TaskSpec spec;
  spec.id = report.id.task;
  spec.team = report.team;
  spec.kind = report.kind;
  spec.work_class = report.work_class;
  spec.semantics = report.semantics;
  spec.demand = report.demand;
  return spec;
}

/// Whether the lease of a task is renewed by its owner.
bool IsLeased(const OwnedTask& task) { return !task.is_preview; }

bool IsActive(const OwnedTask& task) {
  return task.phase == OwnedPhase::kStarting || task.phase == OwnedPhase::kUnresolved ||
         task.phase == OwnedPhase::kRunning;
}

}  // namespace

void Executor::OnAcquired(const AcquiredUpstream& acquisition) {
  const UpstreamId& id = acquisition.info.id;
  m_allotments.DropRetainedUsage(id);
  OwnedUpstream& upstream = m_upstreams[id];
  upstream.info = acquisition.info;
  upstream.epoch = acquisition.epoch;
  upstream.reset_epoch = acquisition.reset_epoch;
  upstream.is_committed = acquisition.is_committed;
  upstream.is_reachable = true;
  upstream.runner_now_ms = acquisition.reply->now_ms;
  upstream.answered_at = m_context.Now();
  m_placer.PutUpstream(acquisition.info);
  for (const RunnerTask& report : acquisition.reply->tasks) {
    AddReported(id, upstream, report);
    if (report.state == RunnerTaskState::kRunning) ++upstream.inherited[report.team];
  }
  UpdateEligibility();
  EvacuateOut();
  Dispatch();
}

void Executor::AddReported(const UpstreamId& id, OwnedUpstream& upstream, const RunnerTask& report) {
  const bool is_preview = report.work_class == WorkClass::kPreview;
  if (report.state != RunnerTaskState::kRunning && is_preview) {
    upstream.acknowledged.insert(report.id);
    return;
  }
  OwnedTask& task = m_tasks[report.id];
  task.spec = SpecOf(report);
  task.home = report.home;
  task.upstream = id;
  task.is_preview = is_preview;
  upstream.tasks.insert(report.id);
  SetPhase(task, OwnedPhase::kRunning);
  m_placer.Reserve(id, task.spec, m_context.Now());
  m_fair_share.AddUsage(task.spec.team, task.spec.demand, m_context.Now());
  m_allotments.CountInherited(task.spec.team, 1);
  if (report.state != RunnerTaskState::kRunning) {
    End(report.id, OutcomeOf(report.state), report.output, report.run_ms, true);
  }
}

void Executor::OnOwnershipLost(const UpstreamId& id) {
  const auto upstream = m_upstreams.find(id);
  if (upstream == m_upstreams.end()) return;
  std::map<TeamId, std::int64_t> lent;
  const std::set<AttemptId> tasks = upstream->second.tasks;
  for (const AttemptId& attempt : tasks) {
    OwnedTask& task = m_tasks.at(attempt);
    if (IsActive(task)) {
      ++lent[task.spec.team];
      m_lost_attempts[attempt] = m_context.Now() + kLostAttemptMemory;
      m_fair_share.RemoveUsage(task.spec.team, task.spec.demand, m_context.Now());
    } else if (task.phase == OwnedPhase::kHeld) {
      FreeCapacity(task);
    }
    // The next owner learns results that the runner holds; the others are known to this entry only.
    const bool is_only_here = task.phase == OwnedPhase::kEnded && !task.is_from_runner;
    if (!is_only_here) m_tasks.erase(attempt);
  }
  if (!lent.empty()) m_allotments.RetainUsage(id, lent);
  m_placer.RemoveUpstream(id);
  m_upstreams.erase(upstream);
  UpdateEligibility();
  // Tasks that wait here go to other owners at once.
  if (!HasUsableUpstream()) RefuseAllWaiting();
}

void Executor::OnCommitted(const UpstreamId& id) {
  const auto upstream = m_upstreams.find(id);
  if (upstream == m_upstreams.end()) return;
  upstream->second.is_committed = true;
  std::vector<TeamId> teams;
  for (const auto& [team, count] : upstream->second.inherited) teams.push_back(team);
  upstream->second.inherited.clear();
  m_allotments.Refresh(teams);
}

void Executor::PrepareAllotmentTransfer(const UpstreamId& id, const EntryId& from,
                                        const std::function<void(AllotmentTransfer)>& done) {
  const auto upstream = m_upstreams.find(id);
  if (upstream == m_upstreams.end()) return;
  m_allotments.PrepareTransfer(upstream->second.inherited, from,
                               [done](std::vector<Condition> conditions, std::vector<Write> writes) {
                                 done(AllotmentTransfer{std::move(conditions), std::move(writes)});
                               });
}

void Executor::OnLeasesExpired(const UpstreamId& id) {
  const auto upstream = m_upstreams.find(id);
  if (upstream == m_upstreams.end()) return;
  const std::set<AttemptId> tasks = upstream->second.tasks;
  for (const AttemptId& attempt : tasks) {
    const OwnedTask& task = m_tasks.at(attempt);
    if (IsLeased(task) && IsActive(task)) End(attempt, Outcome::kExpired, "the task lease lapsed", 0, false);
  }
  OnOwnershipLost(id);
}

void Executor::RenewDue() {
  const Time now = m_context.Now();
  for (auto& [id, upstream] : m_upstreams) {
    if (now >= std::min(upstream.next_renewal, NextRenewal(upstream))) Renew(id, upstream);
  }
  m_context.After(kReportSweep, [this] { RenewDue(); });
}

Time Executor::NextRenewal(const OwnedUpstream& upstream) const {
  // The report is read when the first task is expected to have ended, so that its capacity and its caller do not wait
  // for the next regular renewal.
  Time next = upstream.next_renewal;
  for (const AttemptId& id : upstream.tasks) {
    const OwnedTask& task = m_tasks.at(id);
    if (task.is_preview || task.phase != OwnedPhase::kRunning) continue;
    const std::int64_t run_ms = m_estimator.EstimateFor(task.spec).run_ms;
    const Time end = task.phase_since + std::chrono::milliseconds(run_ms);
    // A task without an estimate, or long past its expected end, waits for the regular renewal.
    const bool is_predictable = run_ms > 0 && upstream.answered_at < end + kOverdue;
    if (is_predictable) next = std::min(next, std::max(end, upstream.answered_at + kMinReportInterval));
  }
  return next;
}

RenewRequest Executor::MakeRenewRequest(const OwnedUpstream& upstream) const {
  RenewRequest request;
  request.token = FencingToken{m_context.self, upstream.epoch};
  request.lease_until_ms = upstream.runner_now_ms + ToMillis(m_context.settings.task_lease);
  for (const AttemptId& id : upstream.tasks) {
    const OwnedTask& task = m_tasks.at(id);
    if (!IsLeased(task) || !IsActive(task)) continue;
    // Until the owner row names this entry, another one may conclude that the leases lapse. Exclusive tasks are then
    // not renewed, so that they never run in two places.
    if (task.spec.semantics == Semantics::kExclusive && !upstream.is_committed) continue;
    request.tasks.push_back(id);
  }
  request.acknowledged.assign(upstream.acknowledged.begin(), upstream.acknowledged.end());
  return request;
}

void Executor::Renew(const UpstreamId& id, OwnedUpstream& upstream) {
  if (upstream.is_renewing) return;
  upstream.is_renewing = true;
  const Time now = m_context.Now();
  upstream.next_renewal = now + m_context.settings.upstream_renew_interval;
  const RenewRequest request = MakeRenewRequest(upstream);
  m_context.effects.CallUpstream(id, upstream.info.address, request, now + m_context.settings.upstream_call_timeout,
                                 [this, id, epoch = upstream.epoch, now, request](const UpstreamReply& reply) {
                                   OnRenewed(id, epoch, now, request, reply);
                                 });
}

void Executor::OnRenewed(const UpstreamId& id, std::int64_t epoch, Time sent_at, const RenewRequest& request,
                         const UpstreamReply& reply) {
  const auto found = m_upstreams.find(id);
  if (found == m_upstreams.end()) return;
  OwnedUpstream& upstream = found->second;
  if (upstream.epoch != epoch) {
    upstream.is_renewing = false;
    return;
  }
  upstream.is_renewing = false;
  if (reply.status == CallStatus::kRefused) return m_hooks.on_refused(id, reply.current);
  if (reply.status != CallStatus::kOk) return OnRenewFailed(id, upstream);
  for (const AttemptId& attempt : request.acknowledged) upstream.acknowledged.erase(attempt);
  upstream.is_reachable = true;
  upstream.runner_now_ms = reply.now_ms;
  upstream.answered_at = m_context.Now();
  ApplyReport(id, upstream, sent_at, reply);
  UpdateEligibility(id);
  Dispatch();
}

void Executor::OnRenewFailed(const UpstreamId& id, OwnedUpstream& upstream) {
  upstream.is_reachable = false;
  UpdateEligibility(id);
  const Time lapsed_at = upstream.answered_at + m_context.settings.task_lease + m_context.settings.drift_bound;
  const bool has_leases = std::any_of(upstream.tasks.begin(), upstream.tasks.end(), [this](const AttemptId& attempt) {
    const OwnedTask& task = m_tasks.at(attempt);
    return IsLeased(task) && IsActive(task);
  });
  if (has_leases && m_context.Now() >= lapsed_at) m_hooks.on_unreachable(id);
}

void Executor::ApplyReport(const UpstreamId& id, OwnedUpstream& upstream, Time sent_at, const UpstreamReply& reply) {
  std::set<AttemptId> reported;
  for (const RunnerTask& report : reply.tasks) {
    reported.insert(report.id);
    ApplyRunnerTask(id, upstream, report);
  }
  const std::set<AttemptId> tasks = upstream.tasks;
  for (const AttemptId& attempt : tasks) {
    const auto task = m_tasks.find(attempt);
    if (task != m_tasks.end() && !reported.contains(attempt)) {
      ResolveMissing(attempt, task->second, sent_at, reply.now_ms);
    }
  }
}

void Executor::ApplyRunnerTask(const UpstreamId& id, OwnedUpstream& upstream, const RunnerTask& report) {
  if (upstream.acknowledged.contains(report.id)) return;
  const auto found = m_tasks.find(report.id);
  if (found == m_tasks.end()) return AddReported(id, upstream, report);
  OwnedTask& task = found->second;
  if (task.phase == OwnedPhase::kEnded || task.phase == OwnedPhase::kHeld) return;
  if (report.state == RunnerTaskState::kRunning) {
    // The answer to a preview's run request is still open when it is starting.
    const bool is_resolved = task.phase == OwnedPhase::kUnresolved && !task.is_preview;
    if (is_resolved) SetPhase(task, OwnedPhase::kRunning);
    if (task.stop_requested && task.phase == OwnedPhase::kRunning) CallStop(report.id, task);
    return;
  }
  if (task.is_preview) {
    upstream.acknowledged.insert(report.id);
    if (task.phase == OwnedPhase::kStarting) return;
    FreeCapacity(task);
    return Erase(report.id);
  }
  RecordHealth(id, true);
  const bool is_judged = report.state == RunnerTaskState::kSucceeded || report.state == RunnerTaskState::kFailed;
  if (is_judged) {
    m_attribution.OnResult(id, task.spec, report.state == RunnerTaskState::kSucceeded, m_context.Now());
  }
  if (report.state == RunnerTaskState::kSucceeded) m_estimator.Record(task.spec, report.run_ms, report.usage);
  End(report.id, OutcomeOf(report.state), report.output, report.run_ms, true);
}

void Executor::ResolveMissing(const AttemptId& id, OwnedTask& task, Time sent_at, std::int64_t runner_now_ms) {
  // A report that was requested before the phase began may have been made before the start took effect.
  if (sent_at <= task.phase_since) return;
  if (task.phase == OwnedPhase::kUnresolved && runner_now_ms > task.start_by_ms) {
    if (!task.is_preview) return End(id, Outcome::kNotStarted, "the start did not reach the runner", 0, false);
    FreeCapacity(task);
    return Erase(id);
  }
  if (task.phase != OwnedPhase::kRunning) return;
  if (!task.is_preview) return End(id, Outcome::kExpired, "the runner does not know the task", 0, false);
  FreeCapacity(task);
  Erase(id);
}

void Executor::End(const AttemptId& id, Outcome outcome, const std::string& output, std::int64_t run_ms,
                   bool is_from_runner) {
  OwnedTask& task = m_tasks.at(id);
  FreeCapacity(task);
  SetPhase(task, OwnedPhase::kEnded);
  task.is_from_runner = is_from_runner;
  task.result = TaskResult{id, outcome, task.upstream, run_ms, output};
  SendResult(task);
}

void Executor::FreeCapacity(const OwnedTask& task) {
  const Time now = m_context.Now();
  m_placer.Release(task.upstream, task.spec, now);
  m_fair_share.RemoveUsage(task.spec.team, task.spec.demand, now);
  m_allotments.Release(task.spec.team);
}

void Executor::Erase(const AttemptId& id) {
  const auto task = m_tasks.find(id);
  if (task == m_tasks.end()) return;
  const UpstreamId upstream = task->second.upstream;
  m_tasks.erase(task);
  const auto owned = m_upstreams.find(upstream);
  if (owned == m_upstreams.end()) return;
  owned->second.tasks.erase(id);
  UpdateEligibility(upstream);
}

void Executor::SendResult(OwnedTask& task) {
  task.next_send = m_context.Now() + kResendInterval;
  m_hooks.send(task.home, task.result);
}

void Executor::ResendResults() {
  const Time now = m_context.Now();
  for (auto& [id, task] : m_tasks) {
    if (task.phase == OwnedPhase::kEnded && task.next_send <= now) SendResult(task);
  }
}

void Executor::OnResultAck(const TaskResultAck& ack) {
  const auto task = m_tasks.find(ack.id);
  if (task == m_tasks.end() || task->second.phase != OwnedPhase::kEnded) return;
  const auto upstream = m_upstreams.find(task->second.upstream);
  if (task->second.is_from_runner && upstream != m_upstreams.end()) upstream->second.acknowledged.insert(ack.id);
  Erase(ack.id);
}

void Executor::OnProbe(const EntryId& from, const TaskProbe& probe) {
  const auto found = m_tasks.find(probe.id);
  if (found != m_tasks.end()) {
    OwnedTask& task = found->second;
    task.home = from;
    if (task.phase == OwnedPhase::kHeld) return End(probe.id, Outcome::kNotStarted, "probed while held", 0, false);
    if (task.phase == OwnedPhase::kEnded) return SendResult(task);
    return m_hooks.send(from, TaskRunning{probe.id});
  }
  const auto upstream = m_upstreams.find(probe.upstream);
  if (upstream == m_upstreams.end() || upstream->second.epoch < probe.epoch) return;
  // The fence has made any start of the attempt impossible, and the runner did not report it. After a restart of the
  // runner it may have run all the same.
  TaskResult result;
  result.id = probe.id;
  result.upstream = probe.upstream;
  result.outcome = probe.epoch < upstream->second.reset_epoch ? Outcome::kExpired : Outcome::kNotStarted;
  m_hooks.send(from, result);
}

void Executor::OnStopOrder(const StopOrder& order) {
  m_queue.Erase(order.id);
  const auto found = m_tasks.find(order.id);
  if (found == m_tasks.end()) return;
  OwnedTask& task = found->second;
  if (task.phase == OwnedPhase::kEnded) return;
  if (task.phase == OwnedPhase::kHeld) return End(order.id, Outcome::kNotStarted, "stopped while held", 0, false);
  RequestStop(order.id, task, order.mode);
}

void Executor::RequestStop(const AttemptId& id, OwnedTask& task, StopMode mode) {
  // A resumed task would be a second start.
  if (mode == StopMode::kCheckpoint && task.spec.semantics == Semantics::kAtMostOnce) return;
  task.stop_requested = true;
  task.stop_mode = mode;
  if (task.phase == OwnedPhase::kRunning) CallStop(id, task);
}

void Executor::CallStop(const AttemptId& id, const OwnedTask& task) {
  const OwnedUpstream& upstream = m_upstreams.at(task.upstream);
  StopTaskRequest request;
  request.token = FencingToken{m_context.self, upstream.epoch};
  request.id = id;
  request.mode = task.stop_mode;
  const Time deadline = m_context.Now() + m_context.settings.upstream_call_timeout;
  // The next report tells whether the task has stopped; until then the stop is requested again.
  m_context.effects.CallUpstream(task.upstream, upstream.info.address, request, deadline,
                                 [](const UpstreamReply& /*reply*/) {});
}

void Executor::CheckOverruns() {
  const Time now = m_context.Now();
  for (auto& [id, task] : m_tasks) {
    const bool is_watched = task.phase == OwnedPhase::kRunning && !task.is_preview && !task.stop_requested;
    if (!is_watched) continue;
    const OverrunAction action = task.overrun.ActionAt(now);
    if (action == task.overrun_action) continue;
    task.overrun_action = action;
    const std::optional<StopMode> mode = ToStopMode(action);
    if (!mode) continue;
    task.stop_mode = *mode;
    if (*mode == StopMode::kThrottle) {
      CallStop(id, task);
    } else if (task.spec.semantics != Semantics::kAtMostOnce) {
      // An at-most-once task could not be started again, so it is only throttled.
      RequestStop(id, task, *mode);
    }
  }
  m_context.After(kOverrunSweep, [this] { CheckOverruns(); });
}

void Executor::EvacuateOut() {
  for (auto& [id, task] : m_tasks) {
    const auto upstream = m_upstreams.find(task.upstream);
    if (upstream == m_upstreams.end() || !IsOut(upstream->second.info)) continue;
    const bool is_movable = !task.is_preview && IsActive(task);
    if (is_movable && !task.stop_requested) RequestStop(id, task, StopMode::kCheckpoint);
  }
}

void Executor::RecordHealth(const UpstreamId& id, bool success) {
  const auto upstream = m_upstreams.find(id);
  if (upstream == m_upstreams.end()) return;
  UpstreamHealth& health = upstream->second.health;
  const bool was_ejected = health.IsEjected();
  if (success) {
    health.OnSuccess();
  } else {
    health.OnFailure(m_context.Now());
  }
  UpdateEligibility(id);
  if (was_ejected == health.IsEjected()) return;
  Event event;
  event.kind = health.IsEjected() ? EventKind::kUpstreamEjected : EventKind::kUpstreamRestored;
  event.upstream = id;
  m_context.effects.Emit(event);
}

}  // namespace jaymast
