#include "upstream/executor.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "configuration/config_store.h"
#include "limits/allotments.h"
#include "membership/membership.h"

namespace jaymast {
namespace {

constexpr std::size_t kMaxWaiting = 10'000;

/// How long a hold request waits for capacity before it is refused and the home entry can try another owner.
constexpr Duration kHoldWait = std::chrono::milliseconds(1000);

/// Starts per second and upstream while a failure domain returns to service.
constexpr std::int64_t kReturnStartsPerUpstream = 4;

constexpr Duration kSweepInterval = std::chrono::milliseconds(50);

/// Verdict on a task, from the status of its run or start request.
Verdict VerdictOf(CallStatus status) {
  switch (status) {
    case CallStatus::kOk:
      return Verdict::kRan;
    case CallStatus::kUnknown:
      return Verdict::kMayHaveRun;
    case CallStatus::kRefused:
    case CallStatus::kNotSent:
      return Verdict::kNotRun;
  }
  return Verdict::kMayHaveRun;
}

}  // namespace

Executor::Executor(Context& context, const ConfigStore& config, const Membership& membership, Allotments& allotments,
                   Hooks hooks)
    : m_context(context),
      m_config(config),
      m_membership(membership),
      m_allotments(allotments),
      m_hooks(std::move(hooks)),
      m_placer(context.effects.Random()),
      m_queue(m_fair_share, kMaxWaiting) {
  m_placer.SetEstimator(&m_estimator);
  m_queue.SetEstimator(&m_estimator);
}

void Executor::Start() {
  RenewDue();
  CheckOverruns();
  Sweep();
}

bool Executor::IsOutOfService(const UpstreamInfo& info) const {
  const ClusterConfig& config = m_config.config();
  return info.leaving || config.domains_out_of_service.contains(info.domain) ||
         config.upstreams_out_of_service.contains(info.id);
}

bool Executor::IsEligible(const OwnedUpstream& upstream) const {
  return upstream.is_reachable && !IsOutOfService(upstream.info) &&
         upstream.health.MayPlace(static_cast<std::int64_t>(upstream.tasks.size())) &&
         m_attribution.MayStart(upstream.info.id, m_context.Now());
}

void Executor::UpdateEligibility(const UpstreamId& id) {
  const auto upstream = m_upstreams.find(id);
  if (upstream != m_upstreams.end()) m_placer.SetEligible(id, IsEligible(upstream->second));
}

void Executor::UpdateEligibility() {
  for (const auto& [id, upstream] : m_upstreams) m_placer.SetEligible(id, IsEligible(upstream));
  m_fair_share.SetCapacity(m_placer.TotalCapacity());
}

void Executor::OnConfig() {
  const ClusterConfig& config = m_config.config();
  for (const auto& [id, team] : config.teams) m_fair_share.SetWeight(id, team.share);
  m_placer.SetPolicies(config.policies);
  LimitReturningDomain();
  UpdateEligibility();
  EvacuateOutOfService();
  Dispatch();
}

void Executor::LimitReturningDomain() {
  const DomainId& domain = m_context.settings.domain;
  const bool is_out_of_service = m_config.config().domains_out_of_service.contains(domain);
  const bool is_returning = std::exchange(m_domain_was_out_of_service, is_out_of_service) && !is_out_of_service;
  if (!is_returning) return;
  const Time now = m_context.Now();
  const auto upstreams = static_cast<std::int64_t>(m_upstreams.size());
  m_placer.LimitStarts(domain, now + m_context.settings.domain_return_ramp, upstreams * kReturnStartsPerUpstream, now);
}

void Executor::OnInstances(const InstanceList& list) {
  for (const UpstreamInfo& info : list.upstreams) {
    const auto upstream = m_upstreams.find(info.id);
    if (upstream == m_upstreams.end()) continue;
    upstream->second.info = info;
    m_placer.PutUpstream(info);
  }
  UpdateEligibility();
  EvacuateOutOfService();
}

void Executor::Run(const RunRequest& request, const EntryId& from, RunDone done) {
  const Time now = m_context.Now();
  const AttemptId id{request.spec.id, request.attempt};
  const Duration remaining = std::chrono::milliseconds(request.remaining_ms);
  WaitingRun run{request, from, now + remaining, std::move(done)};
  // The queue does not need the body. Half of the remaining time is left for a retry at another owner.
  std::string body = std::exchange(run.request.spec.body, {});
  const WaitingTask waiting{id, run.request.spec, from, now, now + remaining / 2};
  run.request.spec.body = std::move(body);
  m_waiting_runs.insert_or_assign(id, std::move(run));
  if (m_queue.size() == 0 && Place(waiting) == OfferOutcome::kPlaced) return;
  const bool may_wait = m_membership.MayStart() && HasUsableUpstream();
  if (!may_wait || !m_queue.Push(waiting)) return RefuseWaiting(waiting);
  Dispatch();
}

void Executor::OnHoldRequest(const EntryId& from, const HoldRequest& request) {
  const Time now = m_context.Now();
  const AttemptId id{request.spec.id, request.attempt};
  if (m_tasks.contains(id)) return;
  const WaitingTask waiting{id, request.spec, from, now, now + kHoldWait};
  if (m_queue.size() == 0 && Place(waiting) == OfferOutcome::kPlaced) return;
  if (!m_queue.Push(waiting)) return RefuseWaiting(waiting);
  Dispatch();
}

bool Executor::HasUsableUpstream() const {
  return std::any_of(m_upstreams.begin(), m_upstreams.end(), [this](const auto& item) {
    const OwnedUpstream& upstream = item.second;
    return upstream.is_reachable && !IsOutOfService(upstream.info) && !upstream.health.IsEjected();
  });
}

void Executor::Dispatch() {
  if (m_dispatching || m_queue.size() == 0) return;
  m_dispatching = true;
  ReserveForBlocked(m_queue.Offer(m_context.Now(), [this](const WaitingTask& waiting) { return Place(waiting); }));
  m_dispatching = false;
}

void Executor::ReserveForBlocked(const OfferReport& report) {
  std::optional<AttemptId> first;
  if (!report.blocked.empty()) first = report.blocked.front();
  if (m_reserved == first) return;
  if (m_reserved) m_placer.CancelReservedStart(m_reserved_spec);
  m_reserved = std::nullopt;
  const WaitingTask* blocked = first ? m_queue.Find(*first) : nullptr;
  if (blocked == nullptr || !m_placer.ReserveStart(blocked->spec, m_context.Now())) return;
  m_reserved = first;
  m_reserved_spec = blocked->spec;
  m_queue.Prefer(*first);
}

OfferOutcome Executor::Place(const WaitingTask& waiting) {
  if (!m_membership.MayStart()) return OfferOutcome::kNoCapacity;
  const Result<UpstreamId> upstream = m_placer.Choose(waiting.spec, m_context.Now());
  if (!upstream) {
    const bool would_delay_reserved_start = upstream.error().path == "/declared_run_ms";
    return would_delay_reserved_start ? OfferOutcome::kBlockedByReservation : OfferOutcome::kNoCapacity;
  }
  if (!m_allotments.TryAcquire(waiting.spec.team)) return OfferOutcome::kRefused;
  OwnedTask& task = Hold(waiting, *upstream);
  const auto run = m_waiting_runs.find(waiting.id);
  if (run == m_waiting_runs.end()) {
    HoldReply reply;
    reply.id = waiting.id;
    reply.granted = true;
    reply.upstream = *upstream;
    reply.epoch = m_upstreams.at(*upstream).epoch;
    m_hooks.send(waiting.from, reply);
    return OfferOutcome::kPlaced;
  }
  task.is_preview = true;
  WaitingRun taken = std::move(run->second);
  m_waiting_runs.erase(run);
  StartRun(waiting.id, std::move(taken));
  return OfferOutcome::kPlaced;
}

OwnedTask& Executor::Hold(const WaitingTask& waiting, const UpstreamId& upstream) {
  const Time now = m_context.Now();
  OwnedTask& task = m_tasks[waiting.id];
  task.spec = waiting.spec;
  task.home = waiting.from;
  task.upstream = upstream;
  task.hold_deadline = now + m_context.settings.hold_duration;
  SetPhase(task, OwnedTaskPhase::kHeld);
  m_attribution.OnStart(upstream, now);
  m_upstreams.at(upstream).tasks.insert(waiting.id);
  m_placer.Reserve(upstream, waiting.spec, now);
  m_fair_share.AddUsage(waiting.spec.team, waiting.spec.demand, now);
  UpdateEligibility(upstream);
  return task;
}

void Executor::SetPhase(OwnedTask& task, OwnedTaskPhase phase) {
  task.phase = phase;
  task.phase_since = m_context.Now();
}

std::int64_t Executor::RunnerNow(const OwnedUpstream& upstream) const {
  return upstream.runner_now_ms + ToMillis(m_context.Now() - upstream.last_reply_at);
}

void Executor::EmitStart(EventKind kind, const AttemptId& id, const OwnedTask& task, const std::string& verdict) {
  const auto upstream = m_upstreams.find(task.upstream);
  Event event;
  event.kind = kind;
  event.task = id.task;
  event.attempt = id.attempt;
  event.team = task.spec.team;
  event.upstream = task.upstream;
  event.domain = m_context.settings.domain;
  event.epoch = upstream == m_upstreams.end() ? 0 : upstream->second.epoch;
  event.config_version = m_config.config().version;
  event.verdict = verdict;
  m_context.effects.Emit(event);
}

void Executor::StartRun(const AttemptId& id, WaitingRun run) {
  OwnedTask& task = m_tasks.at(id);
  OwnedUpstream& upstream = m_upstreams.at(task.upstream);
  SetPhase(task, OwnedTaskPhase::kStarting);
  RunTaskRequest request;
  request.token = FencingToken{m_context.self, upstream.epoch};
  request.spec = std::move(run.request.spec);
  request.attempt = id.attempt;
  request.home = run.from;
  const Duration remaining = run.deadline - m_context.Now();
  request.start_by_ms = RunnerNow(upstream) + ToMillis(std::min(remaining, m_context.settings.upstream_call_timeout));
  task.start_by_ms = request.start_by_ms;
  ++m_open_runs;
  EmitStart(EventKind::kStartSent, id, task, "");
  const Time deadline = run.deadline;
  m_context.effects.CallUpstream(
      task.upstream, upstream.info.address, request, deadline,
      [this, id, run = std::move(run)](const UpstreamReply& reply) { OnRunTaskReply(id, run, reply); });
}

void Executor::OnRunTaskReply(const AttemptId& id, const WaitingRun& run, const UpstreamReply& reply) {
  --m_open_runs;
  RunReply run_reply;
  run_reply.call = run.request.call;
  run_reply.id = id;
  run_reply.verdict = VerdictOf(reply.status);
  const auto found = m_tasks.find(id);
  if (found != m_tasks.end()) {
    EmitStart(EventKind::kStartAnswered, id, found->second, std::string(ToString(run_reply.verdict)));
    const UpstreamId upstream = found->second.upstream;
    if (reply.status == CallStatus::kOk) {
      const bool succeeded = reply.result == RunnerTaskState::kSucceeded;
      m_attribution.OnResult(upstream, found->second.spec, succeeded, m_context.Now());
    }
    if (reply.status == CallStatus::kUnknown) {
      SetPhase(found->second, OwnedTaskPhase::kUnresolved);
    } else {
      ReleaseCapacity(found->second);
      Erase(id);
    }
    RecordHealth(upstream, reply.status == CallStatus::kOk);
    if (reply.status == CallStatus::kRefused) m_hooks.on_refused(upstream, reply.current);
  }
  if (reply.status == CallStatus::kOk) {
    run_reply.output = reply.output;
    if (reply.result != RunnerTaskState::kSucceeded) run_reply.error = ErrorId::kTaskFailed;
  } else {
    run_reply.error = ErrorId::kUpstreamFailed;
    run_reply.reason = reply.reason.empty() ? std::string(ToString(reply.status)) : reply.reason;
  }
  run.done(run_reply);
  Dispatch();
}

void Executor::OnStartOrder(const EntryId& from, const StartOrder& order) {
  const AttemptId id{order.spec.id, order.attempt};
  const auto found = m_tasks.find(id);
  if (found == m_tasks.end()) {
    if (m_former_attempts.contains(id)) return;
    // The hold expired, or this entry no longer owns the upstream: the attempt was not and will not be started.
    TaskResult result;
    result.id = id;
    result.outcome = Outcome::kNotStarted;
    return m_hooks.send(from, result);
  }
  OwnedTask& task = found->second;
  if (task.phase != OwnedTaskPhase::kHeld) return;
  task.home = from;
  const bool may_start = m_membership.MayStart() && !IsOutOfService(m_upstreams.at(task.upstream).info);
  if (!may_start || m_context.Now() >= task.hold_deadline || task.stop_requested) {
    return End(id, Outcome::kNotStarted, "the hold is no longer valid", 0, false);
  }
  CallStart(id, task, order);
}

void Executor::CallStart(const AttemptId& id, OwnedTask& task, const StartOrder& order) {
  OwnedUpstream& upstream = m_upstreams.at(task.upstream);
  SetPhase(task, OwnedTaskPhase::kStarting);
  StartTaskRequest request;
  request.token = FencingToken{m_context.self, upstream.epoch};
  request.spec = order.spec;
  request.attempt = id.attempt;
  request.home = task.home;
  request.checkpoint = order.checkpoint;
  // Leases count from the runner's clock in its last reply, so that a delayed request cannot extend them.
  request.lease_until_ms = upstream.runner_now_ms + ToMillis(m_context.settings.task_lease);
  task.start_by_ms = request.lease_until_ms;
  EmitStart(EventKind::kStartSent, id, task, "");
  const Time deadline = m_context.Now() + m_context.settings.upstream_call_timeout;
  m_context.effects.CallUpstream(
      task.upstream, upstream.info.address, request, deadline,
      [this, id, home = task.home](const UpstreamReply& reply) { OnStartTaskReply(id, home, reply); });
}

void Executor::OnStartTaskReply(const AttemptId& id, const EntryId& home, const UpstreamReply& reply) {
  const auto found = m_tasks.find(id);
  const Verdict verdict = VerdictOf(reply.status);
  if (found == m_tasks.end() || found->second.phase != OwnedTaskPhase::kStarting) {
    if (found != m_tasks.end() || verdict != Verdict::kNotRun) return;
    // This entry no longer owns the upstream, but the runner certainly did not start the attempt.
    TaskResult result;
    result.id = id;
    result.outcome = Outcome::kNotStarted;
    return m_hooks.send(home, result);
  }
  OwnedTask& task = found->second;
  const UpstreamId upstream = task.upstream;
  EmitStart(EventKind::kStartAnswered, id, task, std::string(ToString(verdict)));
  switch (reply.status) {
    case CallStatus::kOk:
      SetPhase(task, OwnedTaskPhase::kRunning);
      // Declared run times are inaccurate, so only learned ones set overrun deadlines.
      if (m_estimator.HasEnoughObservations(task.spec)) {
        task.overrun = OverrunDeadlines::ForRunTime(task.spec, m_estimator.EstimateFor(task.spec), m_context.Now());
      }
      if (task.stop_requested) CallStop(id, task);
      return;
    case CallStatus::kUnknown:
      SetPhase(task, OwnedTaskPhase::kUnresolved);
      return RecordHealth(upstream, false);
    case CallStatus::kRefused:
      End(id, Outcome::kNotStarted, reply.reason, 0, false);
      RecordHealth(upstream, false);
      return m_hooks.on_refused(upstream, reply.current);
    case CallStatus::kNotSent:
      End(id, Outcome::kNotStarted, "the runner is unreachable", 0, false);
      return RecordHealth(upstream, false);
  }
}

void Executor::OnReleaseHold(const ReleaseHold& release) {
  m_queue.Erase(release.id);
  const auto found = m_tasks.find(release.id);
  if (found == m_tasks.end() || found->second.phase != OwnedTaskPhase::kHeld) return;
  ReleaseCapacity(found->second);
  Erase(release.id);
  Dispatch();
}

void Executor::RefuseWaiting(const WaitingTask& waiting) {
  const bool is_limited = m_allotments.Used(waiting.spec.team) >= m_allotments.Allowed(waiting.spec.team);
  const ErrorId error = is_limited ? ErrorId::kLimitReached : ErrorId::kNoCapacity;
  const std::string reason = is_limited ? "the team has reached its limit" : "no free capacity";
  const auto run = m_waiting_runs.find(waiting.id);
  if (run == m_waiting_runs.end()) {
    HoldReply reply;
    reply.id = waiting.id;
    reply.error = error;
    reply.reason = reason;
    return m_hooks.send(waiting.from, reply);
  }
  const WaitingRun refused = std::move(run->second);
  m_waiting_runs.erase(run);
  RunReply run_reply;
  run_reply.call = refused.request.call;
  run_reply.id = waiting.id;
  run_reply.error = error;
  run_reply.reason = reason;
  refused.done(run_reply);
}

void Executor::RefuseAllWaiting() {
  for (const WaitingTask& waiting : m_queue.TakeExpired(Time::max())) RefuseWaiting(waiting);
}

void Executor::Sweep() {
  for (const WaitingTask& waiting : m_queue.TakeExpired(m_context.Now())) RefuseWaiting(waiting);
  ExpireHolds();
  ResendResults();
  std::erase_if(m_former_attempts, [now = m_context.Now()](const auto& item) { return item.second <= now; });
  for (auto& [id, upstream] : m_upstreams) upstream.health.OnTick(m_context.Now());
  UpdateEligibility();
  Dispatch();
  m_context.After(kSweepInterval, [this] { Sweep(); });
}

void Executor::ExpireHolds() {
  const Time now = m_context.Now();
  std::vector<AttemptId> expired;
  for (const auto& [id, task] : m_tasks) {
    if (task.phase == OwnedTaskPhase::kHeld && task.hold_deadline <= now) expired.push_back(id);
  }
  for (const AttemptId& id : expired) {
    ReleaseCapacity(m_tasks.at(id));
    Erase(id);
  }
}

std::size_t Executor::RunningCount() const {
  return static_cast<std::size_t>(std::count_if(m_tasks.begin(), m_tasks.end(), [](const auto& entry) {
    const OwnedTaskPhase phase = entry.second.phase;
    return phase == OwnedTaskPhase::kStarting || phase == OwnedTaskPhase::kRunning ||
           phase == OwnedTaskPhase::kUnresolved;
  }));
}

Summary Executor::MakeSummary() const {
  Summary summary;
  summary.domain = m_context.settings.domain;
  summary.serving = m_membership.MayStart() && HasUsableUpstream();
  summary.free = m_placer.Free();
  summary.largest_free = m_placer.LargestFree();
  summary.config_version = m_config.config().version;
  return summary;
}

}  // namespace jaymast
