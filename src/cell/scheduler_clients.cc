#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <utility>

#include "cell/scheduler.h"
#include "jobs/job_record.h"

namespace jaymast {
namespace {

/// A rejection based on an older configuration could be wrong; the leader reads it again at least this often.
constexpr Duration kMaxConfigAge{1'700'000};
/// Responses without a write are sent only while the leadership was confirmed within this time.
constexpr Duration kMaxUnconfirmed{1'200'000};
/// The end of an outage is unknown. Clients wait 3 s in all, and a longer delay would use up most of that time.
constexpr std::int64_t kStoreRetryAfterS = 1;
/// The progress of an occurrence fits into a record: a task on an upstream with the longest ID takes about 230 bytes.
constexpr std::int64_t kMaxTasksOfOccurrence = 1'000;
/// Bound of the amounts of a step. Larger ones could overflow when those of all waiting tasks are added up.
constexpr std::int64_t kMaxAmount = std::int64_t{1} << 40U;
/// Bound of times in ms, the largest integer that all JSON implementations represent exactly.
constexpr std::int64_t kMaxScheduleMs = std::int64_t{1} << 53U;

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
  if (call.action != ClientAction::kSubmit) return Decide(call, reply);
  if (m_refused_calls.Contains(call.call_id, m_now)) return reply({ClientOutcome::kUnavailable, {}, 0, 1});
  Decide(call, [this, call_id = call.call_id, reply](const ClientReply& decided) {
    const bool is_refused = decided.outcome != ClientOutcome::kAccepted && decided.outcome != ClientOutcome::kNotLeader;
    if (is_refused) m_refused_calls.Add(call_id, m_now);
    reply(decided);
  });
}

void Scheduler::Decide(const ClientCall& call, const ClientReplyFunction& reply) {
  const bool is_config_fresh = m_config != nullptr && m_now - m_config_current_at <= kMaxConfigAge;
  const bool is_confirmed = m_now - m_leadership.confirmed_at <= kMaxUnconfirmed;
  if (m_config == nullptr) return reply({ClientOutcome::kUnavailable, {}, 0, 1});
  const QueueConfig* queue = m_config->FindQueue(call.host, call.path);
  if (queue == nullptr) {
    if (!is_config_fresh || !is_confirmed) return reply({ClientOutcome::kNotLeader});
    return reply({ClientOutcome::kNoSuchQueue});
  }
  const JobId id(call.path.substr(queue->prefix.size()));
  Job* job = FindJob(id);
  // A copy of an accepted call gets the same response, even if the key was revoked in between.
  const bool is_copy =
      call.action == ClientAction::kSubmit && job != nullptr && !call.call_id.empty() && job->call_id == call.call_id;
  if (is_copy) return Acknowledge(*job, reply);
  TeamId team;
  if (call.key) {
    const auto found = m_config->team_of_key.find(*call.key);
    if (found != m_config->team_of_key.end()) team = found->second;
  }
  if (team.empty() && !queue->is_public) {
    if (!is_config_fresh || !is_confirmed) return reply({ClientOutcome::kNotLeader});
    return reply({ClientOutcome::kUnknownKey});
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
    // A revoked key must not cancel, so the configuration must be current.
    if (!is_config_fresh) return reply({ClientOutcome::kNotLeader});
    return Cancel(id, reply);
  }
  if (call.action == ClientAction::kSubmit && job == nullptr) {
    if (m_leadership.is_store_stalled && !m_leadership.is_store_unavailable) return reply({ClientOutcome::kNotLeader});
    if (!is_config_fresh || m_leadership.is_store_unavailable) {
      m_ports.events.Emit("job.refused", {{"job", id.value()}, {"reason", "store does not answer"}});
      return reply({ClientOutcome::kUnavailable, {}, 0, kStoreRetryAfterS});
    }
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

  AdmissionLoad load;
  const bool is_immediate = job.spec.repeat_count == 0 && !job.spec.steps.front().is_long_running;
  if (is_immediate) {
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
    const auto team_config = m_config->teams.find(team);
    if (team_config != m_config->teams.end()) load.weight = team_config->second.weight;
    // Right after a takeover no upstream has replied yet, which is no sign of overload.
    const bool is_adopting = load.total_cores <= 0 && m_now - m_took_over_at < kAdoptionTime;
    const AdmissionDecision decision = is_adopting ? AdmissionDecision{} : m_admission.Decide(team, load, m_now);
    if (!decision.is_admitted) {
      m_ports.events.Emit("job.refused", {{"job", id.value()},
                                          {"reason", "queue is longer than the slack"},
                                          {"queued_core_s", fmt::format("{:.1f}", load.queued_core_s)},
                                          {"slack_s", fmt::format("{:.2f}", load.slack_s)},
                                          {"retry_after_s", std::to_string(decision.retry_after_s)}});
      return reply({ClientOutcome::kOverloaded, {}, 0, decision.retry_after_s});
    }
  }
  auto stored = std::make_unique<Job>(std::move(job));
  Job& accepted = *stored;
  m_jobs[id] = std::move(stored);
  m_active[id] = &accepted;
  MarkChanged(accepted);
  WhenCommitted(accepted, [reply] { reply({ClientOutcome::kAccepted}); });
  if (!OpenDueOccurrences(accepted)) m_unopened[id] = &accepted;
  m_ports.events.Emit("job.accepted", {{"job", id.value()}, {"queue", queue.id.value()}, {"team", team.value()}});
}

void Scheduler::Cancel(const JobId& id, const ClientReplyFunction& reply) {
  Job* job = FindJob(id);
  if (job == nullptr) {
    const bool is_confirmed = m_now - m_leadership.confirmed_at <= kMaxUnconfirmed;
    return reply({is_confirmed ? ClientOutcome::kNoSuchJob : ClientOutcome::kNotLeader});
  }
  if (!IsFinal(job->state)) EndJob(*job, JobState::kCancelled);
  if (job->change == job->committed_change) return reply({ClientOutcome::kCancelled});
  WhenCommitted(*job, [reply] { reply({ClientOutcome::kCancelled}); });
}

std::int64_t Scheduler::CountWaitingJobs(const QueueId& queue) const {
  return std::count_if(m_active.begin(), m_active.end(), [&queue](const auto& entry) {
    return entry.second->queue == queue && !entry.second->has_started;
  });
}

}  // namespace jaymast
