#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cell/scheduler.h"
#include "jobs/job_record.h"

namespace jaymast {
namespace {

/// Calls are held while the configuration is not older than this, and refused at once from then on.
constexpr Duration kMaxHeldConfigAge{4'000'000};
/// Responses without a write are sent only while the leadership was confirmed within this time.
constexpr Duration kMaxUnconfirmed{1'200'000};
/// The end of an outage is unknown. Clients wait 3 s in all, so a delay of more than 2 s would be no retry.
constexpr std::int64_t kMaxOutageRetryAfterS = 2;
/// The progress of an occurrence fits into a record: a task on an upstream with the longest ID takes about 230 bytes.
constexpr std::int64_t kMaxTasksOfOccurrence = 1'000;
/// Bound of the amounts of a step. Larger ones could overflow when those of all waiting tasks are added up.
constexpr std::int64_t kMaxAmount = std::int64_t{1} << 40U;
/// Bound of times in ms, the largest integer that all JSON implementations represent exactly.
constexpr std::int64_t kMaxScheduleMs = std::int64_t{1} << 53U;

/// Upstreams that a policy call is expected to name, as in the objective of a job.
constexpr double kUpstreamsPerCall = 30;
/// The result of a job is of no use later than this multiple of its objective.
constexpr double kHardDeadlineFactor = 3;

double TypicalCallMs(const PolicyConfig& policy) { return policy.call_ms + policy.per_upstream_ms * kUpstreamsPerCall; }

EarlyCancels::Key EarlyCancelKey(const QueueConfig& queue, const TeamId& team, const JobId& id) {
  return {id, queue.id, queue.is_public ? TeamId() : team};
}

ClientReply MalformedReply(std::string reason) {
  ClientReply reply;
  reply.outcome = ClientOutcome::kMalformed;
  reply.reason = std::move(reason);
  return reply;
}

/// Returns the name of the first amount of a step that is negative or too large, or an empty text.
std::string_view FindInvalidAmount(const StepSpec& step) {
  const std::array<std::pair<std::string_view, std::int64_t>, 7> amounts = {{
      {"cpu demand", step.demand.cpu_millis},
      {"memory demand", step.demand.memory_mb},
      {"accelerator demand", step.demand.accelerators},
      {"estimated run time", step.estimate_ms},
      {"limit for each upstream", step.max_per_upstream},
      {"latency objective", step.latency_objective_ms},
      {"limit of unavailable tasks", step.max_unavailable},
  }};
  for (const auto& [name, amount] : amounts) {
    if (amount < 0 || amount > kMaxAmount) return name;
  }
  return "";
}

/// Returns why no job with this specification can be accepted, or an empty text.
std::string FindDefect(const JobSpec& spec) {
  if (spec.steps.empty()) return "the job has no steps";
  std::int64_t tasks = 0;
  for (std::size_t s = 0; s < spec.steps.size(); ++s) {
    const StepSpec& step = spec.steps[s];
    if (step.task_count < 1 || step.task_count > kMaxTasksOfOccurrence) {
      return fmt::format("step {} has {} tasks; 1 to {} are allowed", s, step.task_count, kMaxTasksOfOccurrence);
    }
    tasks += step.task_count;
    if (const std::string_view amount = FindInvalidAmount(step); !amount.empty()) {
      return fmt::format("the {} of step {} is out of range; 0 to {} are allowed", amount, s, kMaxAmount);
    }
    for (const std::size_t dependency : step.dependencies) {
      if (dependency >= spec.steps.size() || dependency == s) {
        return fmt::format("step {} depends on step {}; the job has {} steps", s, dependency, spec.steps.size());
      }
    }
  }
  if (tasks > kMaxTasksOfOccurrence) {
    return fmt::format("the steps have {} tasks in all; the limit is {}", tasks, kMaxTasksOfOccurrence);
  }
  if (spec.start_at_unix_ms < -kMaxScheduleMs || spec.start_at_unix_ms > kMaxScheduleMs) {
    return fmt::format("the first occurrence is due at {} ms; the limit is {}", spec.start_at_unix_ms, kMaxScheduleMs);
  }
  if (spec.interval_ms < 0 || spec.interval_ms > kMaxScheduleMs) {
    return fmt::format("the interval of the occurrences is {} ms; 0 to {} are allowed", spec.interval_ms,
                       kMaxScheduleMs);
  }
  return "";
}

}  // namespace

void Scheduler::OnClientCall(const ClientCall& call, const ClientReplyFunction& reply) {
  const std::int64_t version = config_version();
  const auto reply_with_version = [reply, version](ClientReply decided) {
    decided.config_version = version;
    reply(decided);
  };
  if (call.action != ClientAction::kSubmit) return Decide(call, reply_with_version);
  if (const ClientReply* refusal = m_refused_calls.Find(call.call_id, m_now)) return reply(ClientReply(*refusal));
  Decide(call, [this, call_id = call.call_id, reply_with_version](const ClientReply& decided) {
    const bool is_refused = decided.outcome != ClientOutcome::kAccepted && decided.outcome != ClientOutcome::kNotLeader;
    const bool is_by_config =
        decided.outcome == ClientOutcome::kNoSuchQueue || decided.outcome == ClientOutcome::kUnknownKey;
    // By the time of the copy a later version of the configuration may be in force, which would decide otherwise.
    const ClientReply later = is_by_config ? ClientReply{ClientOutcome::kUnavailable, {}, 0, 1} : decided;
    if (is_refused) m_refused_calls.Add(call_id, later, m_now);
    reply_with_version(decided);
  });
}

void Scheduler::Decide(const ClientCall& call, const ClientReplyFunction& reply) {
  const bool is_config_recent = m_config != nullptr && m_freshness.IsRecent(FeedTopic::kConfiguration, m_now);
  const bool is_confirmed = m_now - m_leadership.confirmed_at <= kMaxUnconfirmed;
  if (m_config == nullptr) return reply({ClientOutcome::kUnavailable, {}, 0, 1});
  const QueueConfig* queue = m_config->FindQueue(call.host, call.path);
  const JobId id(queue == nullptr ? std::string() : call.path.substr(queue->prefix.size()));
  Job* job = queue == nullptr ? nullptr : FindJob(id);
  // A copy of an accepted call gets the same response, even if the key was revoked in between.
  const bool is_copy =
      call.action == ClientAction::kSubmit && job != nullptr && !call.call_id.empty() && job->call_id == call.call_id;
  if (is_copy) return Acknowledge(*job, reply);
  // Another leader has already decided by a later version.
  const bool is_config_outdated = call.min_config_version > m_config->version;
  if (!is_config_recent || is_config_outdated) {
    return ReplyUndecided(call, queue == nullptr ? 0 : queue->priority, reply);
  }
  if (queue == nullptr) return reply({is_confirmed ? ClientOutcome::kNoSuchQueue : ClientOutcome::kNotLeader});
  TeamId team;
  if (call.key) {
    const auto found = m_config->team_of_key.find(*call.key);
    if (found != m_config->team_of_key.end()) team = found->second;
  }
  if (team.empty() && !queue->is_public) {
    return reply({is_confirmed ? ClientOutcome::kUnknownKey : ClientOutcome::kNotLeader});
  }
  if (call.action == ClientAction::kReadQueue) {
    if (!is_confirmed) return reply({ClientOutcome::kNotLeader});
    return reply({ClientOutcome::kQueueLength, {}, CountWaitingJobs(queue->id)});
  }
  const bool is_hidden =
      job != nullptr && !job->team.empty() && !team.empty() && job->team != team && !queue->is_public;
  if (is_hidden && call.action != ClientAction::kSubmit) {
    m_ports.events.Emit("job.hidden", {{"job", id.value()}, {"team", team.value()}});
    return reply({is_confirmed ? ClientOutcome::kNoSuchJob : ClientOutcome::kNotLeader});
  }
  if (call.action == ClientAction::kCancel) {
    return job == nullptr ? CancelUnknownJob(call, *queue, id, team, reply) : Cancel(*job, reply);
  }
  if (call.action == ClientAction::kSubmit && job == nullptr) {
    if (m_leadership.is_store_stalled) return ReplyUndecided(call, queue->priority, reply);
    return Submit(call, *queue, id, team, reply);
  }
  if (job == nullptr) return reply({is_confirmed ? ClientOutcome::kNoSuchJob : ClientOutcome::kNotLeader});
  if (call.action == ClientAction::kSubmit) return Acknowledge(*job, reply);
  if (job->committed_change == 0) {
    return WhenCommitted(*job, [this, id, reply] {
      const Job* committed = FindJob(id);
      reply({ClientOutcome::kState, committed->committed_state});
    });
  }
  reply({ClientOutcome::kState, job->committed_state});
}

void Scheduler::ReplyUndecided(const ClientCall& call, std::int64_t priority, const ClientReplyFunction& reply) {
  // A call is held while a read may be on its way, or another instance is about to take over.
  const bool may_be_decided_soon =
      !m_leadership.is_store_unavailable && m_freshness.AgeAt(FeedTopic::kConfiguration, m_now) <= kMaxHeldConfigAge;
  if (may_be_decided_soon) return reply({ClientOutcome::kNotLeader});
  const bool is_submission = call.action == ClientAction::kSubmit;
  const std::string target(call.path.substr(call.path.rfind('/') + 1));
  m_ports.events.Emit(is_submission ? "job.refused" : "call.refused",
                      {{"job", target},
                       {"reason", "store does not answer"},
                       {"config_version", std::to_string(m_config->version)},
                       {"config_age_ms", AgeMs(FeedTopic::kConfiguration)}});
  reply({ClientOutcome::kUnavailable, {}, 0, OutageRetryAfterS(priority)});
}

std::int64_t Scheduler::OutageRetryAfterS(std::int64_t priority) {
  // Urgent callers return first; the others return in two halves.
  return priority == 0 ? 1 : 1 + static_cast<std::int64_t>(m_outage_refusals++ % kMaxOutageRetryAfterS);
}

void Scheduler::Acknowledge(Job& job, const ClientReplyFunction& reply) {
  if (job.committed_change > 0) return reply({ClientOutcome::kAccepted});
  WhenCommitted(job, [reply] { reply({ClientOutcome::kAccepted}); });
}

void Scheduler::Submit(const ClientCall& call, const QueueConfig& queue, const JobId& id, const TeamId& team,
                       const ClientReplyFunction& reply) {
  if (!call.spec) return reply(MalformedReply(""));
  if (const std::string defect = FindDefect(*call.spec); !defect.empty()) return reply(MalformedReply(defect));
  Job job;
  job.id = id;
  job.queue = queue.id;
  job.accepted_queue = queue;
  job.accepted_queue.host.clear();
  job.accepted_queue.prefix.clear();
  job.team = team;
  job.call_id = call.call_id;
  job.spec = *call.spec;
  job.accepted = m_now;
  job.recorded_at_ms = m_leadership.store_now_ms;
  const std::size_t record_bytes = EncodeJobRecord(job).size();
  if (record_bytes > kMaxRecordBytes) {
    const std::string reason = fmt::format("the job takes {} bytes; the limit is {}", record_bytes, kMaxRecordBytes);
    m_ports.events.Emit("job.refused", {{"job", id.value()}, {"reason", reason}});
    return reply(MalformedReply(reason));
  }
  SetObjective(job);

  const bool is_cancelled = m_early_cancels.Contains(EarlyCancelKey(queue, team, id), m_now);
  const bool is_immediate = job.spec.repeat_count == 0 && !job.spec.steps.front().is_long_running;
  if (is_immediate && !is_cancelled) {
    const AdmissionDecision decision = DecideAdmission(job, queue);
    if (!decision.is_admitted) return reply({ClientOutcome::kOverloaded, {}, 0, decision.retry_after_s});
  }
  auto stored = std::make_unique<Job>(std::move(job));
  Job& accepted = *stored;
  m_jobs[id] = std::move(stored);
  m_active[id] = &accepted;
  MarkChanged(accepted);
  WhenCommitted(accepted, [reply] { reply({ClientOutcome::kAccepted}); });
  m_ports.events.Emit("job.accepted", {{"job", id.value()},
                                       {"queue", queue.id.value()},
                                       {"team", team.value()},
                                       {"call", call.call_id},
                                       {"config_version", std::to_string(m_config->version)},
                                       {"config_age_ms", AgeMs(FeedTopic::kConfiguration)}});
  if (is_cancelled) return EndJob(accepted, JobState::kCancelled);
  if (!OpenDueOccurrences(accepted)) m_unopened[id] = &accepted;
  if (is_immediate) CountAcceptedWork(accepted, queue);
}

AdmissionDecision Scheduler::DecideAdmission(Job& job, const QueueConfig& queue) {
  AdmissionDecision decision;
  double queued_core_s = 0;
  double free_cores = 0;
  double slack_s = 0;
  if (m_ports.options.IsOn(CellFeature::kAdmissionByCause)) {
    const AdmissionRequest request = DescribeRequest(job, queue);
    // Right after a takeover the list of upstreams may not be known, which is no sign of overload.
    if (request.total_cores <= 0 && IsAdopting()) return {};
    decision = m_admission.Decide(job.team, request, m_now);
    queued_core_s = request.queued_core_s;
    free_cores = request.free_cores;
    slack_s = request.slack_s;
  } else {
    const AdmissionLoad load = DescribeLoad(job, queue);
    if (load.total_cores <= 0 && IsAdopting()) return {};
    decision = m_admission.Decide(job.team, load, m_now);
    queued_core_s = load.queued_core_s;
    free_cores = load.free_cores;
    slack_s = load.slack_s;
  }
  if (!decision.is_admitted) {
    m_ports.events.Emit("job.refused", {{"job", job.id.value()},
                                        {"reason", std::string(ToString(decision.cause))},
                                        {"queued_core_s", fmt::format("{:.1f}", queued_core_s)},
                                        {"free_cores", fmt::format("{:.1f}", free_cores)},
                                        {"wait_s", fmt::format("{:.2f}", decision.wait_s)},
                                        {"slack_s", fmt::format("{:.2f}", slack_s)},
                                        {"retry_after_s", std::to_string(decision.retry_after_s)}});
  }
  return decision;
}

AdmissionLoad Scheduler::DescribeLoad(const Job& job, const QueueConfig& queue) const {
  AdmissionLoad load;
  for (const auto& [upstream_id, upstream] : m_upstreams) {
    if (!IsUsable(upstream)) continue;
    load.total_cores += static_cast<double>(upstream.listing.capacity.cpu_millis) / 1000.0;
    load.free_cores += static_cast<double>(std::max<std::int64_t>(0, upstream.FreeCapacity().cpu_millis)) / 1000.0;
  }
  for (const auto& [active, entry] : m_active) {
    const Job& other = *entry;
    const QueueConfig* other_queue = QueueOf(other);
    if (other_queue == nullptr || other_queue->priority > queue.priority || m_now > other.hard_deadline) continue;
    for (const auto& [number, occurrence] : other.occurrences) {
      for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        const StepSpec& step = other.spec.steps[s];
        // Work that fits on no upstream delays no other work.
        if (!occurrence.steps[s].can_fit_later) continue;
        load.queued_cores += static_cast<double>(occurrence.steps[s].waiting * step.demand.cpu_millis) / 1000.0;
        load.queued_core_s += static_cast<double>(occurrence.steps[s].waiting * step.estimate_ms) / 1000.0 *
                              static_cast<double>(step.demand.cpu_millis) / 1000.0;
      }
    }
  }
  const auto objective_s = std::chrono::duration<double>(job.objective - m_now).count();
  const double target_s = static_cast<double>(queue.target_duration_ms) / 1000.0;
  const double critical_path_s = queue.stretch > 0 ? (objective_s - target_s) / queue.stretch : 0;
  load.slack_s = objective_s - critical_path_s;
  load.weight = WeightOf(job.team);
  return load;
}

AdmissionRequest Scheduler::DescribeRequest(Job& job, const QueueConfig& queue) {
  AdmissionRequest request;
  request.service = queue.service;
  request.priority = queue.priority;
  request.weight = WeightOf(job.team);
  request.total_cores = UsableCores(queue.service);
  DescribeWork(job, queue, request);

  const auto queued = [this, &queue](WaitCause cause) {
    return m_waiting_work.Sum(queue.service, queue.priority, cause);
  };
  request.queued_core_s = queued(WaitCause::kCores).core_s;
  if (request.is_gang) request.queued_core_s += queued(WaitCause::kGang).core_s;
  WaitingAmount claims = queued(WaitCause::kTicket);
  claims += queued(WaitCause::kPlacement);
  request.claimed_cores = claims.cores;
  request.claimed_core_s = claims.core_s;
  CountFreeCores(job, queue, request);

  Resources first_demand;
  for (const StepSpec& step : job.spec.steps) {
    if (step.dependencies.empty()) first_demand += step.total_demand();
  }
  // What the last pass left of the limit can't be used by the work that waits for it.
  if (!first_demand.FitsIn(TeamFreeCapacity(job.team))) {
    request.team_wait_s = m_waiting_work.TeamQueueSeconds(job.team, queue.priority);
  }
  return request;
}

void Scheduler::DescribeWork(Job& job, const QueueConfig& queue, AdmissionRequest& request) const {
  const double call_ms = queue.policy ? TypicalCallMs(*queue.policy) : 0;
  const double call_wait_ms = queue.policy ? ExpectedPolicyWaitMs(queue) : 0;
  std::vector<double> path_ms(job.spec.steps.size(), 0);
  std::vector<double> path_wait_ms(job.spec.steps.size(), 0);
  double longest_ms = 0;
  for (std::size_t s = 0; s < job.spec.steps.size(); ++s) {
    const StepSpec& step = job.spec.steps[s];
    for (const std::size_t dependency : step.dependencies) {
      if (dependency >= s) continue;
      path_ms[s] = std::max(path_ms[s], path_ms[dependency]);
      path_wait_ms[s] = std::max(path_wait_ms[s], path_wait_ms[dependency]);
    }
    const double run_ms = ExpectedRunMs(queue, step);
    path_ms[s] += run_ms + call_ms;
    path_wait_ms[s] += call_wait_ms;
    request.can_fit = request.can_fit && CanEverFit(job, s, queue);
    longest_ms = std::max(longest_ms, path_ms[s]);
    request.policy_wait_s = std::max(request.policy_wait_s, path_wait_ms[s] / 1000.0);
    const double cores = static_cast<double>(step.task_count * step.allocated_resources().cpu_millis) / 1000.0;
    request.work_core_s += cores * run_ms / 1000.0;
    if (step.dependencies.empty()) {
      request.needed_cores += cores;
      request.is_gang = request.is_gang || step.is_gang;
    }
  }
  request.critical_path_s = longest_ms / 1000.0;
  const double objective_s =
      request.critical_path_s * queue.stretch + static_cast<double>(queue.target_duration_ms) / 1000.0;
  request.slack_s = objective_s - request.critical_path_s;
  request.useful_s = objective_s * kHardDeadlineFactor;
}

void Scheduler::CountFreeCores(Job& job, const QueueConfig& queue, AdmissionRequest& request) const {
  double usable_by_job = 0;
  double free_cores = 0;
  const double wanted = request.needed_cores + request.claimed_cores;
  for (std::size_t s = 0; s < job.spec.steps.size(); ++s) {
    const StepSpec& step = job.spec.steps[s];
    const std::int64_t cpu = step.allocated_resources().cpu_millis;
    if (!step.dependencies.empty() || cpu == 0) continue;
    const StepRef ref{&job, 0, s};
    for (const auto& [id, upstream] : m_upstreams) {
      if (free_cores >= wanted && usable_by_job >= request.needed_cores) break;
      const Resources free = step.is_gang ? upstream.FreeCapacity() : UnreservedCapacity(upstream);
      if (free.cpu_millis < cpu || !IsExpectedUsable(upstream, queue.service)) continue;
      if (!step.required_label.empty() && !upstream.HasLabel(step.required_label)) continue;
      const std::int64_t slots = CountSlots(ref, upstream, free);
      if (slots == 0) continue;
      usable_by_job += static_cast<double>(slots * cpu) / 1000.0;
      free_cores += static_cast<double>(free.cpu_millis) / 1000.0;
    }
  }
  request.free_cores = std::min(free_cores, usable_by_job + request.claimed_cores);
}

bool Scheduler::CanEverFit(Job& job, std::size_t step, const QueueConfig& queue) const {
  const StepSpec& spec = job.spec.steps[step];
  if (ShareOfLimit(job.team, spec.is_gang ? spec.total_demand() : spec.demand) > 1) return false;
  // Right after a takeover the list of upstreams may be incomplete.
  if (IsAdopting()) return true;
  const std::int64_t needed = spec.is_gang ? spec.task_count : 1;
  std::int64_t slots = 0;
  bool has_upstream = false;
  const StepRef ref{&job, 0, step};
  for (const auto& [id, upstream] : m_upstreams) {
    if (!IsInService(upstream, queue.service)) continue;
    has_upstream = true;
    if (!spec.required_label.empty() && !upstream.HasLabel(spec.required_label)) continue;
    slots += CountSlots(ref, upstream, upstream.AttainableCapacity());
    if (slots >= needed) return true;
  }
  return !has_upstream;
}

bool Scheduler::IsInService(const UpstreamState& upstream, const ServiceId& service) const {
  return upstream.is_listed && upstream.listing.service == service && !upstream.listing.is_draining &&
         !m_domains_out_of_service.contains(upstream.listing.domain);
}

bool Scheduler::IsExpectedUsable(const UpstreamState& upstream, const ServiceId& service) const {
  return IsInService(upstream, service) && (IsUsable(upstream) || (IsAdopting() && !upstream.is_adopted));
}

double Scheduler::UsableCores(const ServiceId& service) {
  if (m_usable_cores_at != m_now) {
    m_usable_cores_at = m_now;
    m_usable_cores.clear();
    for (const auto& [id, upstream] : m_upstreams) {
      if (!IsExpectedUsable(upstream, upstream.listing.service)) continue;
      m_usable_cores[upstream.listing.service] += static_cast<double>(upstream.listing.capacity.cpu_millis) / 1000.0;
    }
  }
  const auto found = m_usable_cores.find(service);
  return found == m_usable_cores.end() ? 0 : found->second;
}

double Scheduler::WeightOf(const TeamId& team) const {
  const auto found = m_config->teams.find(team);
  return found == m_config->teams.end() ? 1 : found->second.weight;
}

double Scheduler::ShareOfLimit(const TeamId& team, const Resources& demand) const {
  const auto found = m_config->teams.find(team);
  if (found == m_config->teams.end()) return 0;
  const Resources& limit = found->second.limit;
  const auto share = [](std::int64_t needed, std::int64_t bound) {
    return bound > 0 ? static_cast<double>(needed) / static_cast<double>(bound) : 0.0;
  };
  return std::max({share(demand.cpu_millis, limit.cpu_millis), share(demand.memory_mb, limit.memory_mb),
                   share(demand.accelerators, limit.accelerators)});
}

double Scheduler::ExpectedRunMs(const QueueConfig& queue, const StepSpec& step) const {
  return m_run_times.Predict(queue.id.value(), static_cast<double>(step.estimate_ms)).expected_ms;
}

double Scheduler::ExpectedPolicyWaitMs(const QueueConfig& queue) const {
  const double call_ms = TypicalCallMs(*queue.policy);
  const double planned_ms = static_cast<double>(ToMillis(m_policy_planner.ExpectedWait(call_ms)));
  if (m_policy_callers == 0 || m_policy_calls.CanCall(static_cast<std::int64_t>(queue.policy->call_ms))) {
    return planned_ms;
  }
  // A lower bound: the calls that waiting steps need before this one, on all instances.
  WaitingAmount calls = m_waiting_work.Sum(queue.service, queue.priority, WaitCause::kTicket);
  calls += m_waiting_work.Sum(queue.service, queue.priority, WaitCause::kPlacement);
  return std::max(planned_ms, calls.call_ms / static_cast<double>(m_policy_callers));
}

WaitCause Scheduler::FindWaitCause(const StepRef& ref, bool is_ready) const {
  const StepSpec& spec = ref.job->spec.steps[ref.step];
  const StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  if (!step.can_fit_later) return WaitCause::kNoFit;
  if (ref.urgency >= Urgency::kLate) return WaitCause::kLate;
  if (!is_ready) return WaitCause::kDependency;
  const Resources demand = spec.is_gang ? spec.total_demand() : spec.demand;
  if (!demand.FitsIn(TeamFreeCapacity(ref.job->team))) return WaitCause::kTeamLimit;
  if (QueueOf(*ref.job)->policy && CouldStart(ref)) return WaitCause::kTicket;
  return spec.is_gang ? WaitCause::kGang : WaitCause::kCores;
}

void Scheduler::CountWaitingStep(const StepRef& ref, bool is_ready) {
  if (!m_ports.options.IsOn(CellFeature::kAdmissionByCause)) return;
  const StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  const QueueConfig* queue = QueueOf(*ref.job);
  if (step.waiting == 0 || queue == nullptr) return;
  const WaitCause cause = FindWaitCause(ref, is_ready);
  m_waiting_work.Add(queue->service, ref.job->team, queue->priority, cause,
                     AmountOf(*ref.job, *queue, ref.job->spec.steps[ref.step], step));
}

void Scheduler::CountAcceptedWork(const Job& job, const QueueConfig& queue) {
  const std::vector<StepState>& steps = job.occurrences.begin()->second.steps;
  for (std::size_t s = 0; s < steps.size(); ++s) {
    const StepSpec& spec = job.spec.steps[s];
    const WaitCause cause = spec.dependencies.empty() ? WaitCause::kPlacement : WaitCause::kDependency;
    m_waiting_work.Add(queue.service, job.team, queue.priority, cause, AmountOf(job, queue, spec, steps[s]));
  }
}

WaitingAmount Scheduler::AmountOf(const Job& job, const QueueConfig& queue, const StepSpec& spec,
                                  const StepState& step) const {
  WaitingAmount amount;
  const double run_ms = ExpectedRunMs(queue, spec);
  amount.cores = static_cast<double>(step.waiting * spec.allocated_resources().cpu_millis) / 1000.0;
  amount.core_s = amount.cores * run_ms / 1000.0;
  amount.limit_s = static_cast<double>(step.waiting) * ShareOfLimit(job.team, spec.demand) * run_ms / 1000.0;
  if (queue.policy && step.open_policy_calls == 0) amount.call_ms = TypicalCallMs(*queue.policy);
  return amount;
}

void Scheduler::Cancel(Job& job, const ClientReplyFunction& reply) {
  if (!IsFinal(job.state)) EndJob(job, JobState::kCancelled);
  if (job.change == job.committed_change) return reply({ClientOutcome::kCancelled});
  WhenCommitted(job, [reply] { reply({ClientOutcome::kCancelled}); });
}

void Scheduler::CancelUnknownJob(const ClientCall& call, const QueueConfig& queue, const JobId& id, const TeamId& team,
                                 const ClientReplyFunction& reply) {
  if (m_now - m_leadership.confirmed_at > kMaxUnconfirmed) return reply({ClientOutcome::kNotLeader});
  // The cancel can't be recorded now, and another instance may be about to take over.
  if (m_leadership.is_store_stalled) return ReplyUndecided(call, queue.priority, reply);
  if (!m_early_cancels.Add(EarlyCancelKey(queue, team, id), m_leadership.max_store_now_ms, m_now)) {
    m_ports.events.Emit("call.refused", {{"job", id.value()}, {"reason", "too many cancels of unknown jobs"}});
    const auto wait = std::chrono::ceil<std::chrono::seconds>(m_early_cancels.RoomAt(team) - m_now);
    return reply({ClientOutcome::kOverloaded, {}, 0, std::max<std::int64_t>(1, wait.count())});
  }
  m_ports.events.Emit("cancel.unknown_job", {{"job", id.value()}, {"queue", queue.id.value()}, {"call", call.call_id}});
  if (m_early_cancels.has_changes()) m_mark_dirty();
  m_early_cancels.WhenCommitted([reply] { reply({ClientOutcome::kNoSuchJob}); });
}

std::int64_t Scheduler::CountWaitingJobs(const QueueId& queue) const {
  return std::count_if(m_active.begin(), m_active.end(), [&queue](const auto& entry) {
    return entry.second->queue == queue && !entry.second->has_started;
  });
}

}  // namespace jaymast
