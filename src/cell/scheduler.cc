#include "cell/scheduler.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "jobs/job_record.h"

namespace jaymast {
namespace {

/// A transaction carries at most 1 MB; rows are encoded with a third more, and the last record may exceed this size by
/// kMaxRecordBytes.
constexpr std::size_t kMaxBatchBytes = 300'000;
/// Bounds of the open occurrences of one job. Further ones are opened when earlier ones have ended.
constexpr std::size_t kMaxOpenOccurrences = 1'000;
constexpr std::int64_t kMaxOpenTasks = 20'000;
/// The objective allows one policy call with this many upstreams for each step.
constexpr double kUpstreamsPerCallInObjective = 30;
/// Ended jobs are kept for this time; clients may read them for 120 s.
constexpr Duration kEndedJobRetention{300'000'000};
/// Bound of the stretched critical path, so that times computed from it do not overflow.
constexpr double kMaxObjectiveMs = 1e12;
/// The hard deadline of a job is this multiple of its objective.
constexpr int kHardDeadlineFactor = 3;

}  // namespace

Scheduler::Scheduler(Ports ports, std::uint64_t epoch, Time now, std::function<void()> mark_dirty,
                     std::function<void()> on_fenced)
    : m_ports(std::move(ports)),
      m_epoch(epoch),
      m_took_over_at(now),
      m_mark_dirty(std::move(mark_dirty)),
      m_on_fenced(std::move(on_fenced)),
      m_now(now),
      m_freshness(m_ports.feed_bounds),
      m_policy_calls(m_ports.policy) {}

void Scheduler::LoadJob(Job job, std::int64_t age_ms) {
  job.accepted = m_now - std::chrono::milliseconds(age_ms);
  job.change = 1;
  job.committed_change = 1;
  const JobId id = job.id;
  m_jobs[id] = std::make_unique<Job>(std::move(job));
}

void Scheduler::FinishLoading() {
  for (auto& [id, job] : m_jobs) {
    m_log.RetainOccurrences(id, job->occurrences);
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
    for (auto& [k, occurrence] : job->occurrences) {
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

void Scheduler::LoadEarlyCancels(const StateRow& row, std::int64_t store_now_ms) {
  if (m_early_cancels.LoadRow(row, store_now_ms, m_now)) return;
  m_ports.events.Emit("record.unreadable", {{"path", row.table + "/" + row.key}});
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

void Scheduler::SetNow(Time now) {
  m_now = now;
  m_policy_calls.SetNow(now);
}

void Scheduler::OnTick(Time now) {
  SetNow(now);
  SendPostponedStarts();
  SyncDueUpstreams();
  LeaveDrainingUpstreams();
  RecordLeaseBounds();
  RecordSpeeds();
  std::erase_if(m_unopened, [this](const auto& entry) { return OpenDueOccurrences(*entry.second); });
  // An assignment that can't be committed would only hold memory, and the upstreams may be others by then.
  if (m_leadership.is_store_stalled) return;
  const bool is_placement_due = now >= m_next_placement || (m_needs_placement && now >= m_earliest_placement);
  if (is_placement_due) PlaceWaitingSteps();
}

CommitBatch Scheduler::CollectBatch() {
  CommitBatch batch;
  std::vector<std::pair<JobId, std::uint64_t>> batched_changes;
  const auto record = [this, &batched_changes](Job& job) {
    const std::uint64_t change = PutRecords(job);
    batched_changes.emplace_back(job.id, change);
    job.is_queued_for_commit = change < job.change;
    if (job.is_queued_for_commit) m_commit_queue.push_back(job.id);
  };
  while (!m_commit_queue.empty() && m_log.pending_bytes() < kMaxBatchBytes) {
    const JobId id = m_commit_queue.front();
    m_commit_queue.pop_front();
    Job* job = FindJob(id);
    if (job != nullptr) record(*job);
  }
  while (!m_ended.empty() && m_ended.front().first <= m_now) {
    m_log.Forget(m_ended.front().second);
    m_jobs.erase(m_ended.front().second);
    m_ended.pop_front();
  }
  for (const RecordLog::RecordRef& item : m_log.RecordsToCompact()) {
    if (m_log.pending_bytes() < kMaxBatchBytes) CompactRecord(item);
  }
  batch.writes = m_log.TakeWrites();
  const std::vector<UpstreamId> withdrawn = PutLeaseBounds(batch);
  const std::uint64_t last_cancel = PutEarlyCancels(batch);
  PutSpeeds(batch);
  if (!m_commit_queue.empty()) m_mark_dirty();
  batch.on_committed = [this, batched_changes = std::move(batched_changes), withdrawn, last_cancel] {
    m_early_cancels.OnCommitted(last_cancel);
    for (const UpstreamId& id : withdrawn) {
      UpstreamState& upstream = m_upstreams[id];
      upstream.recorded_lease_end_ms = 0;
      upstream.withdraws_lease_bound = false;
    }
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
        job->unrecorded_occurrences.clear();
        job->spec = JobSpec{};
      }
    }
  };
  return batch;
}

std::uint64_t Scheduler::PutRecords(Job& job) {
  if (IsSettled(job)) {
    if (job.is_final_recorded) return job.change;
    m_log.Put(job.id, {RecordKind::kFinal}, EncodeFinalRecord(job));
    job.is_final_recorded = true;
    m_ended.emplace_back(m_now + kEndedJobRetention, job.id);
    return job.change;
  }
  if (!job.is_spec_recorded) {
    m_log.Put(job.id, {RecordKind::kJob}, EncodeJobRecord(job));
    job.is_spec_recorded = true;
    // A job without a progress record is loaded as one without runs.
    if (HasNoProgress(job)) return job.change;
  }
  m_log.Put(job.id, {RecordKind::kProgress}, EncodeProgressRecord(job));
  PutOccurrences(job);
  if (job.unrecorded_occurrences.empty()) return job.change;
  return job.occurrences.at(job.unrecorded_occurrences.front()).unrecorded_since - 1;
}

void Scheduler::PutOccurrences(Job& job) {
  while (!job.unrecorded_occurrences.empty() && m_log.pending_bytes() < kMaxBatchBytes) {
    const auto found = job.occurrences.find(job.unrecorded_occurrences.front());
    job.unrecorded_occurrences.pop_front();
    auto& [number, occurrence] = *found;
    occurrence.unrecorded_since = 0;
    if (occurrence.is_done) {
      m_log.DropOccurrence(job.id, number);
      job.occurrences.erase(found);
    } else {
      m_log.Put(job.id, {RecordKind::kOccurrence, number}, EncodeOccurrenceRecord(occurrence));
    }
  }
}

void Scheduler::CompactRecord(const RecordLog::RecordRef& item) {
  const Job* job = FindJob(item.job);
  if (job == nullptr) return m_log.Put(item.job, {RecordKind::kTombstone}, "");
  switch (item.name.kind) {
    case RecordKind::kProgress:
      return m_log.Put(item.job, item.name, EncodeProgressRecord(*job));
    case RecordKind::kOccurrence: {
      const auto found = job->occurrences.find(item.name.occurrence);
      if (found != job->occurrences.end()) m_log.Put(item.job, item.name, EncodeOccurrenceRecord(found->second));
      return;
    }
    case RecordKind::kFinal:
      return m_log.Put(item.job, item.name, EncodeFinalRecord(*job));
    case RecordKind::kJob:
    case RecordKind::kTombstone:
      return m_log.Put(item.job, item.name, EncodeJobRecord(*job));
  }
}

bool Scheduler::HasNoProgress(const Job& job) {
  if (job.state != JobState::kPending || job.spec.repeat_count > 0) return false;
  for (const StepState& step : job.occurrences.begin()->second.steps) {
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
  if (job == nullptr) return nullptr;
  const auto occurrence = job->occurrences.find(key.occurrence);
  if (occurrence == job->occurrences.end() || key.step >= occurrence->second.steps.size()) return nullptr;
  StepState& step = occurrence->second.steps[key.step];
  return key.index < step.tasks.size() ? &step.tasks[key.index] : nullptr;
}

const QueueConfig* Scheduler::QueueOf(const Job& job) const {
  const auto found = m_known_queues.find(job.queue);
  if (found != m_known_queues.end()) return &found->second;
  return job.accepted_queue.service.empty() ? nullptr : &job.accepted_queue;
}

void Scheduler::MarkChanged(Job& job) {
  ++job.change;
  if (!job.is_queued_for_commit) {
    job.is_queued_for_commit = true;
    m_commit_queue.push_back(job.id);
  }
  m_mark_dirty();
}

void Scheduler::MarkChanged(Job& job, std::size_t occurrence) {
  MarkChanged(job);
  if (job.spec.repeat_count == 0) return;
  std::uint64_t& unrecorded_since = job.occurrences.at(occurrence).unrecorded_since;
  if (unrecorded_since > 0) return;
  unrecorded_since = job.change;
  job.unrecorded_occurrences.push_back(occurrence);
}

void Scheduler::WhenCommitted(Job& job, std::function<void()> action) {
  job.commit_callbacks.emplace_back(job.change, std::move(action));
}

void Scheduler::AllocateCapacity(Job& job, const TaskKey& key, TaskState& task, const UpstreamId& upstream) {
  UpstreamState& state = GetOrAddUpstream(upstream);
  const StepSpec& spec = job.spec.steps[key.step];
  m_team_usage[job.team] += spec.demand;
  state.allocated += spec.allocated_resources();
  if (spec.is_long_running) state.allocated_to_long_running += spec.allocated_resources();
  if (task.makes_way_for) state.backfilled[*task.makes_way_for] += spec.allocated_resources();
  state.tasks.push_back(key);
  task.upstream = upstream;
}

void Scheduler::ReleaseCapacity(Job& job, const TaskKey& key, TaskState& task) {
  UpstreamState& state = m_upstreams[task.upstream];
  const StepSpec& spec = job.spec.steps[key.step];
  m_team_usage[job.team] -= spec.demand;
  state.allocated -= spec.allocated_resources();
  if (spec.is_long_running) state.allocated_to_long_running -= spec.allocated_resources();
  if (task.makes_way_for) {
    const auto backfilled = state.backfilled.find(*task.makes_way_for);
    backfilled->second -= spec.allocated_resources();
    if (backfilled->second == Resources{}) state.backfilled.erase(backfilled);
    task.makes_way_for.reset();
  }
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
  job.step_times.assign(job.spec.steps.size(), {});
  std::vector<double> critical_path_ms(job.spec.steps.size(), 0);
  double longest = 0;
  for (std::size_t s = 0; s < job.spec.steps.size(); ++s) {
    const StepSpec& step = job.spec.steps[s];
    for (const std::size_t dependency : step.dependencies) {
      if (dependency < s) critical_path_ms[s] = std::max(critical_path_ms[s], critical_path_ms[dependency]);
    }
    job.step_times[s].run_ms = ExpectedRunMs(job, *queue, s);
    critical_path_ms[s] += job.step_times[s].run_ms + call_ms;
    longest = std::max(longest, critical_path_ms[s]);
  }
  for (std::size_t s = job.spec.steps.size(); s-- > 0;) {
    const StepSpec& step = job.spec.steps[s];
    const double from_here_ms = job.step_times[s].after_ms + job.step_times[s].run_ms + call_ms;
    for (const std::size_t dependency : step.dependencies) {
      if (dependency >= s) continue;
      job.step_times[dependency].after_ms = std::max(job.step_times[dependency].after_ms, from_here_ms);
    }
  }
  job.stretched_path_ms = std::min(longest * queue->stretch, kMaxObjectiveMs);
  const std::int64_t objective_ms = static_cast<std::int64_t>(job.stretched_path_ms) + queue->target_duration_ms;
  job.objective = job.accepted + std::chrono::milliseconds(objective_ms);
  job.hard_deadline = job.accepted + std::chrono::milliseconds(objective_ms * kHardDeadlineFactor);
}

double Scheduler::ExpectedRunMs(const Job& job, const QueueConfig& queue, std::size_t step) const {
  const auto declared_ms = static_cast<double>(job.spec.steps[step].estimate_ms);
  if (!m_ports.options.IsOn(CellFeature::kLearnedRunTimes)) return declared_ms;
  if (job.spec.repeat_count == 0 && !job.occurrences.empty()) {
    const StepRunTime& run_time = job.occurrences.begin()->second.steps[step].run_time;
    if (run_time.variance > 0) return m_speeds.RunTimeAtMeanSpeed(queue.service.value(), run_time);
  }
  return m_run_times.Predict(queue.id.value(), declared_ms).expected_ms;
}

void Scheduler::LearnFromStep(const Job& job, const TaskKey& key, const StepState& step) {
  const QueueConfig* queue = QueueOf(job);
  if (queue == nullptr) return;
  const double run_ms = m_speeds.RunTimeAtMeanSpeed(queue->service.value(), step.run_time);
  if (run_ms > 0) {
    m_run_times.Record(queue->id.value(), static_cast<double>(job.spec.steps[key.step].estimate_ms), run_ms);
  }
}

void Scheduler::FinishTask(Job& job, const TaskKey& key, TaskState& task) {
  if (task.phase == TaskPhase::kDone) return;
  StepState& step = StepOf(job, key);
  if (task.phase == TaskPhase::kWaiting) --step.waiting;
  task.phase = TaskPhase::kDone;
  if (--step.not_done > 0) return;
  LearnFromStep(job, key, step);
  step.tickets.clear();
  step.policy_decisions.clear();
  Occurrence& occurrence = job.occurrences.at(key.occurrence);
  m_needs_placement = true;
  if (--occurrence.steps_left > 0) return;
  occurrence.is_done = true;
  const bool is_complete = job.next_occurrence == static_cast<std::size_t>(job.spec.occurrence_count()) &&
                           std::all_of(job.occurrences.begin(), job.occurrences.end(),
                                       [](const auto& other) { return other.second.is_done; });
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
  while (job.next_occurrence < static_cast<std::size_t>(job.spec.occurrence_count())) {
    if (!IsNextOccurrenceDue(job) || !MayOpenOccurrence(job)) return false;
    const std::size_t number = job.next_occurrence;
    OpenOccurrence(job, number);
    m_needs_placement = true;
    MarkChanged(job, number);
  }
  return true;
}

bool Scheduler::IsNextOccurrenceDue(const Job& job) const {
  if (job.spec.repeat_count == 0) return true;
  const std::int64_t elapsed_ms = m_leadership.unix_now_ms - job.spec.start_at_unix_ms;
  if (elapsed_ms < 0) return false;
  // The product of the interval and the number of the occurrence could overflow.
  return job.spec.interval_ms == 0 ||
         job.next_occurrence <= static_cast<std::size_t>(elapsed_ms / job.spec.interval_ms);
}

bool Scheduler::MayOpenOccurrence(const Job& job) {
  if (job.occurrences.empty()) return true;
  std::int64_t tasks = 0;
  for (const StepSpec& step : job.spec.steps) tasks += step.task_count;
  const std::size_t open = job.occurrences.size();
  return open < kMaxOpenOccurrences && static_cast<std::int64_t>(open + 1) * tasks <= kMaxOpenTasks;
}

}  // namespace jaymast
