// Executor: reports of runners, results of tasks, and changes of ownership.
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

/// Interval between checks for due reports, and minimum time between two reports of one runner. A runner reports its
/// tasks in the reply to a renewal of their leases.
constexpr Duration kReportSweepInterval = std::chrono::milliseconds(50);
constexpr Duration kMinReportInterval = std::chrono::milliseconds(100);

/// How long after the expected end of a task its runner is asked for early reports. It is limited because each report
/// lists all tasks of the runner.
constexpr Duration kMaxOverdue = std::chrono::milliseconds(300);

constexpr Duration kOverrunSweepInterval = std::chrono::seconds(1);
constexpr Duration kResendInterval = std::chrono::seconds(1);

/// Longer than any delay of a frame between entries.
constexpr Duration kFormerAttemptRetention = std::chrono::seconds(60);

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
  return task.phase == OwnedTaskPhase::kStarting || task.phase == OwnedTaskPhase::kUnresolved ||
         task.phase == OwnedTaskPhase::kRunning;
}

}  // namespace

void Executor::OnAcquired(const AcquiredUpstream& acquired) {
  const UpstreamId& id = acquired.info.id;
  m_allotments.DropRetainedUsage(id);
  OwnedUpstream& upstream = m_upstreams[id];
  upstream.info = acquired.info;
  upstream.epoch = acquired.epoch;
  upstream.reset_epoch = acquired.reset_epoch;
  upstream.is_committed = acquired.is_committed;
  upstream.is_reachable = true;
  upstream.runner_now_ms = acquired.reply->now_ms;
  upstream.last_reply_at = m_context.Now();
  m_placer.PutUpstream(acquired.info);
  for (const RunnerTask& report : acquired.reply->tasks) {
    AddReported(id, upstream, report);
    if (report.state == RunnerTaskState::kRunning) ++upstream.inherited[report.team];
  }
  UpdateEligibility();
  EvacuateOutOfService();
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
  SetPhase(task, OwnedTaskPhase::kRunning);
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
  std::map<TeamId, std::int64_t> retained;
  const std::set<AttemptId> tasks = upstream->second.tasks;
  for (const AttemptId& attempt : tasks) {
    OwnedTask& task = m_tasks.at(attempt);
    if (IsActive(task)) {
      ++retained[task.spec.team];
      m_former_attempts[attempt] = m_context.Now() + kFormerAttemptRetention;
      m_fair_share.RemoveUsage(task.spec.team, task.spec.demand, m_context.Now());
    } else if (task.phase == OwnedTaskPhase::kHeld) {
      ReleaseCapacity(task);
    }
    // The runner reports the results that it holds to the next owner. Only this entry has the others.
    const bool is_only_copy = task.phase == OwnedTaskPhase::kEnded && !task.is_from_runner;
    if (!is_only_copy) m_tasks.erase(attempt);
  }
  if (!retained.empty()) m_allotments.RetainUsage(id, retained);
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
    if (IsLeased(task) && IsActive(task)) End(attempt, Outcome::kExpired, "the task lease expired", 0, false);
  }
  OnOwnershipLost(id);
}

void Executor::RenewDue() {
  const Time now = m_context.Now();
  for (auto& [id, upstream] : m_upstreams) {
    if (now >= std::min(upstream.next_renewal, NextRenewal(upstream))) Renew(id, upstream);
  }
  m_context.After(kReportSweepInterval, [this] { RenewDue(); });
}

Time Executor::NextRenewal(const OwnedUpstream& upstream) const {
  // The runner is asked when its first task is expected to end, so that neither the capacity nor the caller waits for
  // the next regular renewal.
  Time next = upstream.next_renewal;
  for (const AttemptId& id : upstream.tasks) {
    const OwnedTask& task = m_tasks.at(id);
    if (task.is_preview || task.phase != OwnedTaskPhase::kRunning) continue;
    const std::int64_t run_ms = m_estimator.EstimateFor(task.spec).run_ms;
    const Time end = task.phase_since + std::chrono::milliseconds(run_ms);
    // A task without an estimate, or long past its expected end, waits for the regular renewal.
    const bool is_predictable = run_ms > 0 && upstream.last_reply_at < end + kMaxOverdue;
    if (is_predictable) next = std::min(next, std::max(end, upstream.last_reply_at + kMinReportInterval));
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
    // Until the owner row names this entry, another entry may expire the leases. Exclusive tasks are not renewed in
    // that time, so that they never run twice at once.
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
  upstream.last_reply_at = m_context.Now();
  ApplyReport(id, upstream, sent_at, reply);
  UpdateEligibility(id);
  Dispatch();
}

void Executor::OnRenewFailed(const UpstreamId& id, OwnedUpstream& upstream) {
  upstream.is_reachable = false;
  UpdateEligibility(id);
  const Time leases_expire_at = upstream.last_reply_at + m_context.settings.task_lease + m_context.settings.drift_bound;
  const bool has_leases = std::any_of(upstream.tasks.begin(), upstream.tasks.end(), [this](const AttemptId& attempt) {
    const OwnedTask& task = m_tasks.at(attempt);
    return IsLeased(task) && IsActive(task);
  });
  if (has_leases && m_context.Now() >= leases_expire_at) m_hooks.on_unreachable(id);
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
      ResolveUnreported(attempt, task->second, sent_at, reply.now_ms);
    }
  }
}

void Executor::ApplyRunnerTask(const UpstreamId& id, OwnedUpstream& upstream, const RunnerTask& report) {
  if (upstream.acknowledged.contains(report.id)) return;
  const auto found = m_tasks.find(report.id);
  if (found == m_tasks.end()) return AddReported(id, upstream, report);
  OwnedTask& task = found->second;
  if (task.phase == OwnedTaskPhase::kEnded || task.phase == OwnedTaskPhase::kHeld) return;
  if (report.state == RunnerTaskState::kRunning) {
    // A starting preview still has a pending run request, whose reply ends it.
    const bool is_resolved = task.phase == OwnedTaskPhase::kUnresolved && !task.is_preview;
    if (is_resolved) SetPhase(task, OwnedTaskPhase::kRunning);
    if (task.stop_requested && task.phase == OwnedTaskPhase::kRunning) CallStop(report.id, task);
    return;
  }
  if (task.is_preview) {
    upstream.acknowledged.insert(report.id);
    if (task.phase == OwnedTaskPhase::kStarting) return;
    ReleaseCapacity(task);
    return Erase(report.id);
  }
  RecordHealth(id, true);
  const bool has_verdict = report.state == RunnerTaskState::kSucceeded || report.state == RunnerTaskState::kFailed;
  if (has_verdict) {
    m_attribution.OnResult(id, task.spec, report.state == RunnerTaskState::kSucceeded, m_context.Now());
  }
  if (report.state == RunnerTaskState::kSucceeded) m_estimator.Record(task.spec, report.run_ms, report.usage);
  End(report.id, OutcomeOf(report.state), report.output, report.run_ms, true);
}

void Executor::ResolveUnreported(const AttemptId& id, OwnedTask& task, Time sent_at, std::int64_t runner_now_ms) {
  // A report requested before the phase began may predate the effect of the start.
  if (sent_at <= task.phase_since) return;
  if (task.phase == OwnedTaskPhase::kUnresolved && runner_now_ms > task.start_by_ms) {
    if (!task.is_preview) return End(id, Outcome::kNotStarted, "the start did not reach the runner", 0, false);
    ReleaseCapacity(task);
    return Erase(id);
  }
  if (task.phase != OwnedTaskPhase::kRunning) return;
  if (!task.is_preview) return End(id, Outcome::kExpired, "the runner does not report the task", 0, false);
  ReleaseCapacity(task);
  Erase(id);
}

void Executor::End(const AttemptId& id, Outcome outcome, const std::string& output, std::int64_t run_ms,
                   bool is_from_runner) {
  OwnedTask& task = m_tasks.at(id);
  ReleaseCapacity(task);
  SetPhase(task, OwnedTaskPhase::kEnded);
  task.is_from_runner = is_from_runner;
  task.result = TaskResult{id, outcome, task.upstream, run_ms, output};
  SendResult(task);
}

void Executor::ReleaseCapacity(const OwnedTask& task) {
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
    if (task.phase == OwnedTaskPhase::kEnded && task.next_send <= now) SendResult(task);
  }
}

void Executor::OnResultAck(const TaskResultAck& ack) {
  const auto task = m_tasks.find(ack.id);
  if (task == m_tasks.end() || task->second.phase != OwnedTaskPhase::kEnded) return;
  const auto upstream = m_upstreams.find(task->second.upstream);
  if (task->second.is_from_runner && upstream != m_upstreams.end()) upstream->second.acknowledged.insert(ack.id);
  Erase(ack.id);
}

void Executor::OnProbe(const EntryId& from, const TaskProbe& probe) {
  const auto found = m_tasks.find(probe.id);
  if (found != m_tasks.end()) {
    OwnedTask& task = found->second;
    task.home = from;
    if (task.phase == OwnedTaskPhase::kHeld) return End(probe.id, Outcome::kNotStarted, "not started yet", 0, false);
    if (task.phase == OwnedTaskPhase::kEnded) return SendResult(task);
    return m_hooks.send(from, TaskRunning{probe.id});
  }
  const auto upstream = m_upstreams.find(probe.upstream);
  if (upstream == m_upstreams.end() || upstream->second.epoch < probe.epoch) return;
  // The runner does not report the attempt, and the fence prevents any later start. After a restart of the runner the
  // attempt may still have run.
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
  if (task.phase == OwnedTaskPhase::kEnded) return;
  if (task.phase == OwnedTaskPhase::kHeld) return End(order.id, Outcome::kNotStarted, "stopped before start", 0, false);
  RequestStop(order.id, task, order.mode);
}

void Executor::RequestStop(const AttemptId& id, OwnedTask& task, StopMode mode) {
  // Resuming from the checkpoint would be a second start.
  if (mode == StopMode::kCheckpoint && task.spec.semantics == Semantics::kAtMostOnce) return;
  task.stop_requested = true;
  task.stop_mode = mode;
  if (task.phase == OwnedTaskPhase::kRunning) CallStop(id, task);
}

void Executor::CallStop(const AttemptId& id, const OwnedTask& task) {
  const OwnedUpstream& upstream = m_upstreams.at(task.upstream);
  StopTaskRequest request;
  request.token = FencingToken{m_context.self, upstream.epoch};
  request.id = id;
  request.mode = task.stop_mode;
  const Time deadline = m_context.Now() + m_context.settings.upstream_call_timeout;
  // The next report shows whether the task has stopped. If it has not, the stop is requested again.
  m_context.effects.CallUpstream(task.upstream, upstream.info.address, request, deadline,
                                 [](const UpstreamReply& /*reply*/) {});
}

void Executor::CheckOverruns() {
  const Time now = m_context.Now();
  for (auto& [id, task] : m_tasks) {
    const bool is_watched = task.phase == OwnedTaskPhase::kRunning && !task.is_preview && !task.stop_requested;
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
      // An at-most-once task cannot be started again, so it is only throttled.
      RequestStop(id, task, *mode);
    }
  }
  m_context.After(kOverrunSweepInterval, [this] { CheckOverruns(); });
}

void Executor::EvacuateOutOfService() {
  for (auto& [id, task] : m_tasks) {
    const auto upstream = m_upstreams.find(task.upstream);
    if (upstream == m_upstreams.end() || !IsOutOfService(upstream->second.info)) continue;
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
