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

/// How long a hold request waits for capacity before the home entry may ask another owner.
constexpr Duration kHoldWait = std::chrono::milliseconds(1000);

/// Starts a second for each upstream while a failure domain comes back.
constexpr std::int64_t kReturnStartsPerUpstream = 4;

constexpr Duration kSweepInterval = std::chrono::milliseconds(50);

/// Summary of the answer to a start request, as a verdict.
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
  ExpireWaiting();
}

bool Executor::IsOut(const UpstreamInfo& info) const {
  const ClusterConfig& config = m_config.config();
  return info.leaving || config.domains_out_of_service.contains(info.domain) ||
         config.upstreams_out_of_service.contains(info.id);
}

bool Executor::IsEligible(const OwnedUpstream& upstream) const {
  return upstream.is_reachable && !IsOut(upstream.info) &&
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
  EvacuateOut();
  Dispatch();
}

void Executor::LimitReturningDomain() {
  const DomainId& domain = m_context.settings.domain;
  const bool is_out = m_config.config().domains_out_of_service.contains(domain);
  const bool is_back = std::exchange(m_was_out, is_out) && !is_out;
  if (!is_back) return;
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
  EvacuateOut();
}

void Executor::Run(const RunRequest& request, const EntryId& from, RunDone done) {
  const Time now = m_context.Now();
  const AttemptId id{request.spec.id, request.attempt};
  const Duration remaining = std::chrono::milliseconds(request.remaining_ms);
  WaitingRun run{request, from, now + remaining, std::move(done)};
  // Only the run needs the body. Half of the time is left for a try at another owner.
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
    return upstream.is_reachable && !IsOut(upstream.info) && !upstream.health.IsEjected();
  });
}

void Executor::Dispatch() {
  if (m_dispatching || m_queue.size() == 0) return;
  m_dispatching = true;
  ReserveBlocked(m_queue.Offer(m_context.Now(), [this](const WaitingTask& waiting) { return Place(waiting); }));
  m_dispatching = false;
}

void Executor::ReserveBlocked(const OfferReport& report) {
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
    const bool is_reserved = upstream.error().path == "/declared_run_ms";
    return is_reserved ? OfferOutcome::kBlockedByReservation : OfferOutcome::kNoCapacity;
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
  SetPhase(task, OwnedPhase::kHeld);
  m_attribution.OnStart(upstream, now);
  m_upstreams.at(upstream).tasks.insert(waiting.id);
  m_placer.Reserve(upstream, waiting.spec, now);
  m_fair_share.AddUsage(waiting.spec.team, waiting.spec.demand, now);
  UpdateEligibility(upstream);
  return task;
}

void Executor::SetPhase(OwnedTask& task, OwnedPhase phase) {
  task.phase = phase;
  task.phase_since = m_context.Now();
}

std::int64_t Executor::RunnerNow(const OwnedUpstream& upstream) const {
  return upstream.runner_now_ms + ToMillis(m_context.Now() - upstream.answered_at);
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
  SetPhase(task, OwnedPhase::kStarting);
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
      [this, id, run = std::move(run)](const UpstreamReply& reply) { OnRunAnswered(id, run, reply); });
}

void Executor::OnRunAnswered(const AttemptId& id, const WaitingRun& run, const UpstreamReply& reply) {
  --m_open_runs;
  RunReply answer;
  answer.call = run.request.call;
  answer.id = id;
  answer.verdict = VerdictOf(reply.status);
  const auto found = m_tasks.find(id);
  if (found != m_tasks.end()) {
    EmitStart(EventKind::kStartAnswered, id, found->second, std::string(ToString(answer.verdict)));
    const UpstreamId upstream = found->second.upstream;
    if (reply.status == CallStatus::kOk) {
      const bool succeeded = reply.result == RunnerTaskState::kSucceeded;
      m_attribution.OnResult(upstream, found->second.spec, succeeded, m_context.Now());
    }
    if (reply.status == CallStatus::kUnknown) {
      SetPhase(found->second, OwnedPhase::kUnresolved);
    } else {
      FreeCapacity(found->second);
      Erase(id);
    }
    RecordHealth(upstream, reply.status == CallStatus::kOk);
    if (reply.status == CallStatus::kRefused) m_hooks.on_refused(upstream, reply.current);
  }
  if (reply.status == CallStatus::kOk) {
    answer.output = reply.output;
    if (reply.result != RunnerTaskState::kSucceeded) answer.error = ErrorId::kTaskFailed;
  } else {
    answer.error = ErrorId::kUpstreamFailed;
    answer.reason = reply.reason.empty() ? std::string(ToString(reply.status)) : reply.reason;
  }
  run.done(answer);
  Dispatch();
}

void Executor::OnStartOrder(const EntryId& from, const StartOrder& order) {
  const AttemptId id{order.spec.id, order.attempt};
  const auto found = m_tasks.find(id);
  if (found == m_tasks.end()) {
    if (m_lost_attempts.contains(id)) return;
    // The hold expired, or this entry lost the upstream: the attempt was not started and cannot be started any more.
    TaskResult result;
    result.id = id;
    result.outcome = Outcome::kNotStarted;
    return m_hooks.send(from, result);
  }
  OwnedTask& task = found->second;
  if (task.phase != OwnedPhase::kHeld) return;
  task.home = from;
  const bool may_start = m_membership.MayStart() && !IsOut(m_upstreams.at(task.upstream).info);
  if (!may_start || m_context.Now() >= task.hold_deadline || task.stop_requested) {
    return End(id, Outcome::kNotStarted, "the hold is not valid any more", 0, false);
  }
  CallStart(id, task, order);
}

void Executor::CallStart(const AttemptId& id, OwnedTask& task, const StartOrder& order) {
  OwnedUpstream& upstream = m_upstreams.at(task.upstream);
  SetPhase(task, OwnedPhase::kStarting);
  StartTaskRequest request;
  request.token = FencingToken{m_context.self, upstream.epoch};
  request.spec = order.spec;
  request.attempt = id.attempt;
  request.home = task.home;
  request.checkpoint = order.checkpoint;
  // Leases count from the runner's clock in its last answer, so a delayed request cannot extend them.
  request.lease_until_ms = upstream.runner_now_ms + ToMillis(m_context.settings.task_lease);
  task.start_by_ms = request.lease_until_ms;
  EmitStart(EventKind::kStartSent, id, task, "");
  const Time deadline = m_context.Now() + m_context.settings.upstream_call_timeout;
  m_context.effects.CallUpstream(
      task.upstream, upstream.info.address, request, deadline,
      [this, id, home = task.home](const UpstreamReply& reply) { OnStartAnswered(id, home, reply); });
}

void Executor::OnStartAnswered(const AttemptId& id, const EntryId& home, const UpstreamReply& reply) {
  const auto found = m_tasks.find(id);
  const Verdict verdict = VerdictOf(reply.status);
  if (found == m_tasks.end() || found->second.phase != OwnedPhase::kStarting) {
    if (found != m_tasks.end() || verdict != Verdict::kNotRun) return;
    // The upstream was lost meanwhile, but the answer is certain.
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
      SetPhase(task, OwnedPhase::kRunning);
      // Declared run times are far off, so only learned ones count as a bound.
      if (m_estimator.HasEnoughObservations(task.spec)) {
        task.overrun = OverrunDeadlines::ForRunTime(task.spec, m_estimator.EstimateFor(task.spec), m_context.Now());
      }
      if (task.stop_requested) CallStop(id, task);
      return;
    case CallStatus::kUnknown:
      SetPhase(task, OwnedPhase::kUnresolved);
      return RecordHealth(upstream, false);
    case CallStatus::kRefused:
      End(id, Outcome::kNotStarted, reply.reason, 0, false);
      RecordHealth(upstream, false);
      return m_hooks.on_refused(upstream, reply.current);
    case CallStatus::kNotSent:
      End(id, Outcome::kNotStarted, "the runner could not be reached", 0, false);
      return RecordHealth(upstream, false);
  }
}

void Executor::OnReleaseHold(const ReleaseHold& release) {
  m_queue.Erase(release.id);
  const auto found = m_tasks.find(release.id);
  if (found == m_tasks.end() || found->second.phase != OwnedPhase::kHeld) return;
  FreeCapacity(found->second);
  Erase(release.id);
  Dispatch();
}

void Executor::RefuseWaiting(const WaitingTask& waiting) {
  const bool is_limited = m_allotments.Used(waiting.spec.team) >= m_allotments.Allowed(waiting.spec.team);
  const ErrorId error = is_limited ? ErrorId::kLimitReached : ErrorId::kNoCapacity;
  const std::string reason = is_limited ? "the team's upper limit is in use" : "no free capacity";
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
  RunReply answer;
  answer.call = refused.request.call;
  answer.id = waiting.id;
  answer.error = error;
  answer.reason = reason;
  refused.done(answer);
}

void Executor::RefuseAllWaiting() {
  for (const WaitingTask& waiting : m_queue.TakeExpired(Time::max())) RefuseWaiting(waiting);
}

void Executor::ExpireWaiting() {
  for (const WaitingTask& waiting : m_queue.TakeExpired(m_context.Now())) RefuseWaiting(waiting);
  ExpireHolds();
  ResendResults();
  std::erase_if(m_lost_attempts, [now = m_context.Now()](const auto& item) { return item.second <= now; });
  for (auto& [id, upstream] : m_upstreams) upstream.health.OnTick(m_context.Now());
  UpdateEligibility();
  Dispatch();
  m_context.After(kSweepInterval, [this] { ExpireWaiting(); });
}

void Executor::ExpireHolds() {
  const Time now = m_context.Now();
  std::vector<AttemptId> expired;
  for (const auto& [id, task] : m_tasks) {
    if (task.phase == OwnedPhase::kHeld && task.hold_deadline <= now) expired.push_back(id);
  }
  for (const AttemptId& id : expired) {
    FreeCapacity(m_tasks.at(id));
    Erase(id);
  }
}

std::size_t Executor::RunningCount() const {
  return static_cast<std::size_t>(std::count_if(m_tasks.begin(), m_tasks.end(), [](const auto& entry) {
    const OwnedPhase phase = entry.second.phase;
    return phase == OwnedPhase::kStarting || phase == OwnedPhase::kRunning || phase == OwnedPhase::kUnresolved;
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
