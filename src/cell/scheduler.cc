#include "cell/scheduler.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "jobs/job_record.h"

namespace jaymast {
namespace {

/// A transaction carries at most 1 MB; rows are encoded with a third more.
constexpr std::size_t kMaxBatchBytes = 500'000;
/// The objective allows one policy call with this many upstreams for each step.
constexpr double kUpstreamsPerCallInObjective = 30;
/// Ended jobs are kept for this time; clients may read them for 120 s.
constexpr Duration kEndedJobRetention{300'000'000};
/// The hard deadline of a job is this multiple of its objective.
constexpr int kHardDeadlineFactor = 3;

}  // namespace

Scheduler::Scheduler(Ports ports, std::uint64_t epoch, Time now, std::function<void()> mark_dirty,
                     std::function<void()> on_fenced)
    : m_ports(ports),
      m_epoch(epoch),
      m_took_over_at(now),
      m_mark_dirty(std::move(mark_dirty)),
      m_on_fenced(std::move(on_fenced)),
      m_now(now),
      m_policy_calls(ports.policy) {}

void Scheduler::LoadJob(Job job, std::int64_t age_ms) {
  job.accepted = m_now - std::chrono::milliseconds(age_ms);
  job.change = 1;
  job.committed_change = 1;
  const JobId id = job.id;
  m_jobs[id] = std::make_unique<Job>(std::move(job));
}

void Scheduler::FinishLoading() {
  for (auto& [id, job] : m_jobs) {
    if (IsSettled(*job)) {
      if (job->is_final_recorded) {
        m_ended.emplace_back(m_now + kEndedJobRetention, id);
      } else {
        MarkChanged(*job);
      }
      continue;
    }
    if (!IsFinal(job->state)) {
      m_active[id] = job.get();
      m_unopened[id] = job.get();
    }
    SetObjective(*job);
    for (std::size_t k = 0; k < job->occurrences.size(); ++k) {
      Occurrence& occurrence = job->occurrences[k];
      for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        StepState& step = occurrence.steps[s];
        for (std::size_t i = 0; i < step.tasks.size(); ++i) {
          TaskState& task = step.tasks[i];
          if (!HasAllocation(task.phase)) continue;
          AllocateCapacity(*job, TaskKey{id, k, s, i}, task, task.upstream);
          // The earlier leader may have sent the start after it committed the assignment.
          if (task.phase == TaskPhase::kAssigned) task.phase = TaskPhase::kStarting;
          if (task.phase == TaskPhase::kStopping) {
            task.stop_retry_at = m_now;
            m_upstreams[task.upstream].next_stop = m_now;
          }
          task.progressed_at = m_now;
        }
      }
    }
  }
}

void Scheduler::OnConfig(std::shared_ptr<const CellConfig> config) {
  if (m_config != nullptr && config->version <= m_config->version) return;
  m_ports.events.Emit("config.in_force", {{"version", std::to_string(config->version)}});
  m_config = std::move(config);
  for (const QueueConfig& queue : m_config->queues) m_known_queues[queue.id] = queue;
  for (const auto& [id, job] : m_active) SetObjective(*job);
  m_needs_placement = true;
}

void Scheduler::OnDomainsOutOfService(std::set<DomainId> domains) {
  if (domains == m_domains_out_of_service) return;
  std::string names;
  for (const DomainId& domain : domains) names += domain.value() + " ";
  m_ports.events.Emit("domains.out", {{"domains", names}});
  m_domains_out_of_service = std::move(domains);
  m_needs_placement = true;
}

void Scheduler::OnTick(Time now) {
  m_now = now;
  SendPostponedStarts();
  SyncDueUpstreams();
  LeaveDrainingUpstreams();
  std::erase_if(m_unopened, [this](const auto& entry) { return OpenDueOccurrences(*entry.second); });
  if (m_needs_placement || now >= m_next_placement) PlaceWaitingSteps();
}

CommitBatch Scheduler::CollectBatch() {
  CommitBatch batch;
  std::vector<std::pair<JobId, std::uint64_t>> batched_changes;
  const auto record = [this, &batched_changes](Job& job) {
    job.is_queued_for_commit = false;
    batched_changes.emplace_back(job.id, job.change);
    PutRecords(job);
  };
  while (!m_commit_queue.empty() && m_log.pending_bytes() < kMaxBatchBytes) {
    const JobId id = m_commit_queue.front();
    m_commit_queue.pop_front();
    Job* job = FindJob(id);
    // Compaction may already have recorded the queued change.
    if (job != nullptr && job->is_queued_for_commit) record(*job);
  }
  while (!m_ended.empty() && m_ended.front().first <= m_now) {
    m_log.Forget(m_ended.front().second);
    m_jobs.erase(m_ended.front().second);
    m_ended.pop_front();
  }
  for (const RecordLog::RecordRef& item : m_log.RecordsToCompact()) {
    Job* job = FindJob(item.job);
    if (job == nullptr) {
      m_log.Put(item.job, RecordKind::kTombstone, "");
    } else if (item.kind == RecordKind::kProgress) {
      record(*job);
    } else {
      m_log.Put(item.job, item.kind, item.kind == RecordKind::kFinal ? EncodeFinalRecord(*job) : EncodeJobRecord(*job));
    }
  }
  batch.writes = m_log.TakeWrites();
  if (!m_commit_queue.empty()) m_mark_dirty();
  batch.on_committed = [this, batched_changes = std::move(batched_changes)] {
    for (const auto& [id, change] : batched_changes) {
      Job* job = FindJob(id);
      if (job == nullptr) continue;
      job->committed_change = change;
      if (change == job->change) job->committed_state = job->state;
      std::vector<std::function<void()>> actions;
      auto& waiting = job->commit_callbacks;
      const auto first_uncommitted = std::find_if(
          waiting.begin(), waiting.end(), [change = change](const auto& entry) { return entry.first > change; });
      for (auto it = waiting.begin(); it != first_uncommitted; ++it) actions.push_back(std::move(it->second));
      waiting.erase(waiting.begin(), first_uncommitted);
      for (const auto& action : actions) action();
      if (IsSettled(*job) && job->commit_callbacks.empty()) {
        job->occurrences.clear();
        job->spec = JobSpec{};
      }
    }
  };
  return batch;
}

void Scheduler::PutRecords(Job& job) {
  if (IsSettled(job)) {
    if (job.is_final_recorded) return;
    m_log.Put(job.id, RecordKind::kFinal, EncodeFinalRecord(job));
    job.is_final_recorded = true;
    m_ended.emplace_back(m_now + kEndedJobRetention, job.id);
    return;
  }
  if (!job.is_spec_recorded) {
    m_log.Put(job.id, RecordKind::kJob, EncodeJobRecord(job));
    job.is_spec_recorded = true;
    // A job without a progress record is loaded as one without runs.
    if (HasNoProgress(job)) return;
  }
  m_log.Put(job.id, RecordKind::kProgress, EncodeProgressRecord(job));
}

bool Scheduler::HasNoProgress(const Job& job) {
  if (job.state != JobState::kPending || job.spec.repeat_count > 0) return false;
  for (const StepState& step : job.occurrences.front().steps) {
    const bool has_run =
        std::any_of(step.tasks.begin(), step.tasks.end(), [](const TaskState& task) { return task.run > 0; });
    if (has_run) return false;
  }
  return true;
}

Job* Scheduler::FindJob(const JobId& id) {
  const auto found = m_jobs.find(id);
  return found == m_jobs.end() ? nullptr : found->second.get();
}

TaskState* Scheduler::FindTask(const TaskKey& key) {
  Job* job = FindJob(key.job);
  if (job == nullptr || key.occurrence >= job->occurrences.size()) return nullptr;
  Occurrence& occurrence = job->occurrences[key.occurrence];
  if (key.step >= occurrence.steps.size()) return nullptr;
  StepState& step = occurrence.steps[key.step];
  return key.index < step.tasks.size() ? &step.tasks[key.index] : nullptr;
}

const QueueConfig* Scheduler::QueueOf(const Job& job) const {
  const auto found = m_known_queues.find(job.queue);
  return found == m_known_queues.end() ? nullptr : &found->second;
}

void Scheduler::MarkChanged(Job& job) {
  ++job.change;
  if (!job.is_queued_for_commit) {
    job.is_queued_for_commit = true;
    m_commit_queue.push_back(job.id);
  }
  m_mark_dirty();
}

void Scheduler::WhenCommitted(Job& job, std::function<void()> action) {
  job.commit_callbacks.emplace_back(job.change, std::move(action));
}

void Scheduler::AllocateCapacity(Job& job, const TaskKey& key, TaskState& task, const UpstreamId& upstream) {
  UpstreamState& state = GetOrAddUpstream(upstream);
  const StepSpec& spec = job.spec.steps[key.step];
  m_team_usage[job.team] += spec.demand;
  state.allocated += spec.allocated_resources();
  state.tasks.push_back(key);
  task.upstream = upstream;
}

void Scheduler::ReleaseCapacity(Job& job, const TaskKey& key, TaskState& task) {
  UpstreamState& state = m_upstreams[task.upstream];
  const StepSpec& spec = job.spec.steps[key.step];
  m_team_usage[job.team] -= spec.demand;
  state.allocated -= spec.allocated_resources();
  const auto found = std::find(state.tasks.begin(), state.tasks.end(), key);
  if (found != state.tasks.end()) {
    *found = state.tasks.back();
    state.tasks.pop_back();
  }
  task.confirmed_at = Time::max();
  task.stop_retry_at = Time::max();
  task.percent = -1;
  task.phase = TaskPhase::kWaiting;
  ++StepOf(job, key).waiting;
  m_needs_placement = true;
}

void Scheduler::SetObjective(Job& job) {
  const QueueConfig* queue = QueueOf(job);
  if (queue == nullptr) return;
  const double call_ms =
      queue->policy ? queue->policy->call_ms + queue->policy->per_upstream_ms * kUpstreamsPerCallInObjective : 0;
  std::vector<double> critical_path_ms(job.spec.steps.size(), 0);
  double longest = 0;
  for (std::size_t s = 0; s < job.spec.steps.size(); ++s) {
    const StepSpec& step = job.spec.steps[s];
    for (const std::size_t dependency : step.dependencies) {
      if (dependency < s) critical_path_ms[s] = std::max(critical_path_ms[s], critical_path_ms[dependency]);
    }
    critical_path_ms[s] += static_cast<double>(step.estimate_ms) + call_ms;
    longest = std::max(longest, critical_path_ms[s]);
  }
  const auto objective_ms = static_cast<std::int64_t>(longest * queue->stretch) + queue->target_duration_ms;
  job.objective = job.accepted + std::chrono::milliseconds(objective_ms);
  job.hard_deadline = job.accepted + std::chrono::milliseconds(objective_ms * kHardDeadlineFactor);
}

void Scheduler::FinishTask(Job& job, const TaskKey& key, TaskState& task) {
  if (task.phase == TaskPhase::kDone) return;
  StepState& step = StepOf(job, key);
  if (task.phase == TaskPhase::kWaiting) --step.waiting;
  task.phase = TaskPhase::kDone;
  if (--step.not_done > 0) return;
  step.tickets.clear();
  step.policy_decisions.clear();
  Occurrence& occurrence = job.occurrences[key.occurrence];
  m_needs_placement = true;
  if (--occurrence.steps_left > 0) return;
  occurrence.is_done = true;
  const bool is_complete = std::all_of(job.occurrences.begin(), job.occurrences.end(),
                                       [](const Occurrence& other) { return other.is_done; });
  if (is_complete && !IsFinal(job.state)) EndJob(job, JobState::kCompleted);
}

void Scheduler::EndJob(Job& job, JobState state) {
  job.state = state;
  m_active.erase(job.id);
  m_unopened.erase(job.id);
  m_ports.events.Emit("job.ended", {{"job", job.id.value()},
                                    {"state", std::string(ToString(state))},
                                    {"after_ms", std::to_string(ToMillis(m_now - job.accepted))}});
  StopAll(job, "job ended");
  MarkChanged(job);
}

bool Scheduler::OpenDueOccurrences(Job& job) {
  for (std::size_t k = 0; k < job.occurrences.size(); ++k) {
    Occurrence& occurrence = job.occurrences[k];
    if (occurrence.is_done || !occurrence.steps.empty()) continue;
    if (job.spec.repeat_count > 0) {
      const std::int64_t due = job.spec.start_at_unix_ms + static_cast<std::int64_t>(k) * job.spec.interval_ms;
      if (m_leadership.unix_now_ms < due) return false;
    }
    OpenOccurrence(job, k);
    m_needs_placement = true;
    MarkChanged(job);
  }
  return true;
}

}  // namespace jaymast
