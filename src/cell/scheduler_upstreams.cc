#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "cell/scheduler.h"
#include "jobs/job_record.h"

namespace jaymast {
namespace {

/// An upstream replies to a sync when a run ends, or after this time.
constexpr std::int64_t kSyncWaitMs = 1000;
/// Used instead while replies are lost, as a lost reply delays the reports of ended runs.
constexpr std::int64_t kSyncWaitLossyMs = 250;
constexpr Duration kLossyPeriod{4'000'000};
/// An upstream can't restart and finish a run within this time after a reply.
constexpr Duration kSameIncarnationBound{150'000};
/// While reported ends are not committed, a sync gets an immediate reply, so it is repeated only to extend leases.
constexpr Duration kUncommittedEndsSyncInterval{300'000};
/// Delay after a failed sync; grows with each failure up to the maximum.
constexpr Duration kFailedSyncDelay{100'000};
constexpr Duration kMaxFailedSyncDelay{500'000};
/// Syncs of upstreams without runs, in all. Beyond this number of upstreams each of them is synced less often.
constexpr std::int64_t kIdleSyncsPerSecond = 600;
constexpr Duration kMaxIdleSyncPause{5'000'000};
/// Open syncs that need no wait. More of them, after a takeover, would not be handled before their timeout.
constexpr std::size_t kMaxOpenImmediateSyncs = 256;
/// An upstream gets no tasks after this time without a reply; above the wait of a sync.
constexpr Duration kUnreachableAfter{1'600'000};
/// Interval between checks for long-running tasks on draining upstreams.
constexpr Duration kDrainCheckInterval{200'000};
/// A run whose reported progress does not change for this time counts as stalled.
constexpr Duration kMinStallTimeout{2'500'000};
/// The time is extended to this many times what one percent takes, as progress is reported in whole percentages.
constexpr int kStallTimeoutPercents = 3;
/// The time is doubled with each stall of a task after the first, up to this many times, as its estimate may be too
/// low.
constexpr int kMaxStallTimeoutDoublings = 10;
constexpr std::int64_t kPercents = 100;
/// An upstream where runs of several jobs fail, or a run stalls, gets no tasks for this time.
constexpr Duration kQuarantine{4'000'000};
constexpr int kQuarantineAfterFailures = 2;
/// Progress is reported in whole percentages, so a run time is derived from at least this many.
constexpr std::int32_t kMinObservedPercents = 30;
/// Standard error of a difference of two whole percentages.
constexpr double kPercentError = 0.5;
/// An end that was reported with a delay above this share of the run tells nothing about the run time.
constexpr double kMaxEndError = 0.5;
/// Progress of a gang member that waits for the others to finish.
constexpr std::int32_t kFinishedPercent = 100;

}  // namespace

UpstreamState* Scheduler::FindUpstream(const UpstreamId& id) {
  const auto found = m_upstreams.find(id);
  return found == m_upstreams.end() ? nullptr : &found->second;
}

UpstreamState& Scheduler::GetOrAddUpstream(const UpstreamId& id) {
  UpstreamState& upstream = m_upstreams[id];
  if (upstream.listing.id.empty()) {
    upstream.listing.id = id;
    upstream.token = m_epoch << 20U;
    upstream.leases_expire_at = m_took_over_at + kMaxLease;
  }
  return upstream;
}

void Scheduler::OnUpstreamListed(UpstreamListing listing) {
  UpstreamState& upstream = GetOrAddUpstream(listing.id);
  if (!upstream.is_listed || upstream.listing.is_draining != listing.is_draining) {
    m_ports.events.Emit("upstream.listed",
                        {{"upstream", listing.id.value()}, {"draining", listing.is_draining ? "true" : "false"}});
    m_needs_placement = true;
  }
  upstream.is_listed = true;
  upstream.listing = std::move(listing);
}

void Scheduler::OnUpstreamUnlisted(const UpstreamId& id) {
  UpstreamState* upstream = FindUpstream(id);
  if (upstream == nullptr || !upstream->is_listed) return;
  m_ports.events.Emit("upstream.unlisted", {{"upstream", id.value()}});
  upstream->is_listed = false;
}

void Scheduler::OnUpstreamListComplete(const std::set<UpstreamId>& listed) {
  for (auto& [id, upstream] : m_upstreams) {
    if (upstream.is_listed && !listed.contains(id)) OnUpstreamUnlisted(id);
  }
}

bool Scheduler::IsUsable(const UpstreamState& upstream) const {
  return upstream.is_listed && upstream.is_adopted && upstream.recorded_lease_end_ms == 0 &&
         !upstream.listing.is_draining && upstream.listing.incarnation == upstream.incarnation &&
         upstream.failed_syncs < kUnreachableAfterFailedSyncs && upstream.quarantined_until <= m_now &&
         m_now - upstream.last_reply_at < kUnreachableAfter + upstream.sync_pause &&
         !m_domains_out_of_service.contains(upstream.listing.domain);
}

std::size_t Scheduler::CountUsableUpstreams() const {
  return static_cast<std::size_t>(std::count_if(m_upstreams.begin(), m_upstreams.end(),
                                                [this](const auto& entry) { return IsUsable(entry.second); }));
}

std::size_t Scheduler::CountUnacknowledgedEnds() const {
  std::size_t count = 0;
  for (const auto& [id, upstream] : m_upstreams) count += upstream.ends.size();
  return count;
}

std::size_t Scheduler::CountCommitCallbacks() const {
  std::size_t count = 0;
  for (const auto& [id, job] : m_active) count += job->commit_callbacks.size();
  return count;
}

void Scheduler::ResendDueStops(UpstreamState& upstream) {
  upstream.next_stop = Time::max();
  for (const TaskKey& key : std::vector<TaskKey>(upstream.tasks)) {
    TaskState* task = FindTask(key);
    if (task == nullptr || task->phase != TaskPhase::kStopping) continue;
    if (m_now >= task->stop_retry_at) {
      task->stop_retry_at = m_now + kStopRetryDelay;
      SendStop(upstream, key, task->run);
    }
    upstream.next_stop = std::min(upstream.next_stop, task->stop_retry_at);
  }
}

Duration Scheduler::IdleSyncPause() const {
  const auto upstreams = static_cast<std::int64_t>(m_upstreams.size());
  if (upstreams <= kIdleSyncsPerSecond) return Duration::zero();
  return std::min(kMaxIdleSyncPause, Duration(std::chrono::seconds(upstreams)) / kIdleSyncsPerSecond);
}

void Scheduler::SyncDueUpstreams() {
  // After a takeover the upstreams with recorded tasks are adopted first.
  if (m_open_immediate_syncs < kMaxOpenImmediateSyncs) {
    for (auto& [id, upstream] : m_upstreams) {
      if (!upstream.tasks.empty()) SyncIfDue(upstream);
    }
  }
  for (auto& [id, upstream] : m_upstreams) SyncIfDue(upstream);
}

void Scheduler::SyncIfDue(UpstreamState& upstream) {
  if (!upstream.tasks.empty() && m_now >= upstream.leases_expire_at) MarkLapsedTasksLost(upstream);
  if (m_now >= upstream.next_stop) ResendDueStops(upstream);
  if (upstream.is_syncing || m_now < upstream.next_sync || upstream.listing.address.empty()) return;
  if (!upstream.is_listed && upstream.tasks.empty()) return;
  const UpstreamId id = upstream.listing.id;
  const bool has_uncommitted_ends = !upstream.ends.empty();
  SyncOrder order;
  order.target = {id, upstream.listing.address, upstream.token};
  // After a gap the upstream may be a new incarnation, whose ends have the same numbers and are not known yet.
  const bool is_same_incarnation = upstream.failed_syncs == 0 && m_now - upstream.last_reply_at < kSameIncarnationBound;
  order.acknowledged_end = is_same_incarnation ? upstream.acknowledged_end : 0;
  const bool acknowledges_later = order.acknowledged_end != upstream.acknowledged_end;
  const bool needs_immediate_reply = acknowledges_later || !upstream.is_adopted || upstream.failed_syncs > 0 ||
                                     has_uncommitted_ends || upstream.sync_token != upstream.token;
  const bool is_idle = upstream.tasks.empty() && IdleSyncPause() > Duration::zero();
  const bool is_lossy = m_now - m_order_timed_out_at < kLossyPeriod;
  order.wait_ms = needs_immediate_reply || is_idle ? 0 : (is_lossy ? kSyncWaitLossyMs : kSyncWaitMs);
  const bool is_immediate = order.wait_ms == 0;
  if (is_immediate && m_open_immediate_syncs >= kMaxOpenImmediateSyncs) return;
  if (is_immediate) ++m_open_immediate_syncs;
  // An upstream that does not reply gets no further lease, so that its tasks end at a known time.
  const bool extends_lease =
      upstream.is_adopted && upstream.clock_ms > 0 && upstream.failed_syncs == 0 && upstream.recorded_lease_end_ms == 0;
  order.lease_until_ms = extends_lease ? GrantLease(upstream) : 0;
  upstream.is_syncing = true;
  upstream.sync_sent_at = m_now;
  upstream.sync_token = upstream.token;
  m_ports.upstreams.Sync(order, [this, id, is_immediate, number = ++upstream.sync_number](const SyncReply& reply) {
    if (is_immediate) --m_open_immediate_syncs;
    OnSyncReply(id, number, reply);
  });
}

void Scheduler::OnSyncReply(const UpstreamId& id, std::uint64_t number, const SyncReply& reply) {
  UpstreamState* found = FindUpstream(id);
  if (m_is_retired || found == nullptr || found->sync_number != number) return;
  UpstreamState& upstream = *found;
  upstream.is_syncing = false;
  if (reply.status == OrderStatus::kFenced && upstream.sync_token == upstream.token) m_on_fenced();
  if (reply.status != OrderStatus::kAccepted) {
    ++upstream.failed_syncs;
    if (reply.status == OrderStatus::kUnknown) m_order_timed_out_at = m_now;
    if (upstream.failed_syncs == 3) {
      m_ports.events.Emit("upstream.silent",
                          {{"upstream", id.value()}, {"reason", std::string(ToString(reply.status))}});
    }
    const Duration pause = std::min(kMaxFailedSyncDelay, kFailedSyncDelay * upstream.failed_syncs);
    upstream.next_sync = m_now + pause;
    if (reply.status == OrderStatus::kOtherIncarnation && !upstream.tasks.empty()) {
      MarkAllTasksLost(upstream, "another upstream has its address");
    }
    return;
  }
  upstream.failed_syncs = 0;
  WithdrawLeaseBound(upstream);
  const bool was_adopted = upstream.is_adopted;
  const bool is_new_incarnation = upstream.incarnation != reply.incarnation && upstream.incarnation != 0;
  upstream.unobserved = std::max(Duration::zero(), upstream.sync_sent_at - upstream.last_reply_at);
  upstream.last_reply_at = m_now;
  SetClock(upstream, reply.clock_ms);
  upstream.incarnation = reply.incarnation;
  if (!was_adopted) m_speeds.SetIncarnation(id, reply.incarnation);
  if (is_new_incarnation) {
    m_ports.events.Emit("upstream.restarted", {{"upstream", id.value()}});
    m_speeds.Forget(id);
    upstream.ends.clear();
    upstream.acknowledged_end = 0;
    // An order for the earlier incarnation may still arrive, so its capacity is free only after a fence.
    Fence(upstream, upstream.token);
    upstream.is_adopted = false;
    return;
  }
  if (upstream.sync_token != upstream.token) {
    upstream.next_sync = m_now;
    return;
  }
  upstream.is_adopted = true;
  std::set<TaskKey> reported;
  for (const EndedRun& row : reply.ended) {
    reported.insert(row.task);
    if (row.number <= upstream.acknowledged_end || upstream.ends.contains(row.number)) continue;
    OnEndedRun(upstream, row);
  }
  for (const ActiveRun& row : reply.running) {
    reported.insert(row.task);
    OnActiveRun(upstream, row);
  }
  if (!reply.has_more_ends) MarkUnreportedTasksLost(upstream, reported);
  StopStalledRuns(upstream);
  AcknowledgeEnds(upstream);
  upstream.sync_pause = upstream.tasks.empty() ? IdleSyncPause() : Duration::zero();
  upstream.next_sync = m_now + (upstream.ends.empty() ? upstream.sync_pause : kUncommittedEndsSyncInterval);
  if (!was_adopted) m_needs_placement = true;
}

void Scheduler::OnActiveRun(UpstreamState& upstream, const ActiveRun& row) {
  TaskState* task = FindTask(row.task);
  Job* job = FindJob(row.task.job);
  const bool is_assigned_here =
      task != nullptr && task->run == row.run && task->upstream == upstream.listing.id && HasAllocation(task->phase);
  if (!is_assigned_here) {
    m_ports.events.Emit("run.unknown", {{"task", FormatTaskKey(row.task)}, {"upstream", upstream.listing.id.value()}});
    SendStop(upstream, row.task, row.run);
    return;
  }
  if (row.percent < task->percent) task->reference.is_settled = true;
  if (task->percent != row.percent) {
    // The first percent may include a wait for the other members of a gang.
    if (task->phase == TaskPhase::kRunning && row.percent > task->percent && task->percent > 0) {
      const Duration percent_duration = (m_now - task->progressed_at) / (row.percent - task->percent);
      task->percent_duration = std::max(task->percent_duration, percent_duration);
    }
    task->percent = row.percent;
    task->progressed_at = m_now;
  }
  KeepCheckpoint(*task, row.checkpoint);
  if (task->phase == TaskPhase::kStopping) return;
  LearnFromProgress(*job, row.task, *task, upstream, row.percent);
  if (IsFinal(job->state)) {
    task->phase = TaskPhase::kRunning;
    return StopTask(*job, row.task, *task, "job ended");
  }
  if (task->phase != TaskPhase::kRunning) {
    task->phase = TaskPhase::kRunning;
    task->confirmed_at = m_now;
    task->progressed_at = m_now;
  }
  OnRunning(StepOf(*job, row.task));
  MarkStarted(*job);
}

void Scheduler::LearnFromProgress(Job& job, const TaskKey& key, TaskState& task, const UpstreamState& upstream,
                                  std::int32_t percent) {
  RunReference& reference = task.reference;
  if (reference.is_settled) return;
  if (percent < 0 || percent > kFinishedPercent) {
    reference.is_settled = true;
    return;
  }
  // A member at 100 percent may have been there for long.
  if (percent == 0 || percent == kFinishedPercent) return;
  if (reference.percent < 0) {
    reference = {m_now, percent};
    return;
  }
  const std::int32_t observed = percent - reference.percent;
  if (observed < kMinObservedPercents) return;
  reference.is_settled = true;
  Learn(job, key, upstream, m_now - reference.since, observed, kPercentError / observed);
}

void Scheduler::LearnFromEnd(Job& job, const TaskKey& key, TaskState& task, const UpstreamState& upstream) {
  RunReference& reference = task.reference;
  const bool is_gang = job.spec.steps[key.step].is_gang;
  const std::int32_t observed = kFinishedPercent - reference.percent;
  // Members of a gang end together.
  if (is_gang || reference.is_settled || reference.percent < 0 || observed < kMinObservedPercents) return;
  reference.is_settled = true;
  const Duration elapsed = m_now - reference.since;
  if (elapsed <= Duration::zero()) return;
  const double error = static_cast<double>(upstream.unobserved.count()) / static_cast<double>(elapsed.count());
  if (error <= kMaxEndError) Learn(job, key, upstream, elapsed, observed, error);
}

void Scheduler::Learn(Job& job, const TaskKey& key, const UpstreamState& upstream, Duration elapsed,
                      std::int32_t observed_percents, double relative_error) {
  const StepSpec& spec = job.spec.steps[key.step];
  // The speed of a task on spare CPU depends on the other tasks, and a long-running one has no run time.
  if (spec.uses_spare_cpu || spec.is_long_running) return;
  RunTimeSample sample;
  sample.run_ms = static_cast<double>(elapsed.count()) / 1000.0 * kPercents / observed_percents;
  sample.relative_error = relative_error;
  const bool is_predicted = key.step < job.step_times.size();
  sample.declared_ms = is_predicted ? job.step_times[key.step].run_ms : static_cast<double>(spec.estimate_ms);
  const bool has_changed = m_speeds.Observe(upstream.listing.service.value(), upstream.listing.id, upstream.incarnation,
                                            sample, StepOf(job, key).run_time);
  if (!IsFinal(job.state)) SetObjective(job);
  if (!has_changed) return;
  m_ports.events.Emit("upstream.speed_changed", {{"upstream", upstream.listing.id.value()},
                                                 {"speed_before", fmt::format("{:.2f}", upstream.speed)}});
}

void Scheduler::OnEndedRun(UpstreamState& upstream, const EndedRun& row) {
  Job* job = FindJob(row.task.job);
  TaskState* task = FindTask(row.task);
  if (job == nullptr || task == nullptr) {
    upstream.ends[row.number] = true;
    return;
  }
  const StepSpec& spec = job->spec.steps[row.task.step];
  StepState& step = StepOf(*job, row.task);
  // A long-running task is started again however its run ends.
  const bool completes_task = row.kind == EndKind::kDone && !spec.is_long_running;
  const bool is_current = task->run == row.run && task->upstream == upstream.listing.id && HasAllocation(task->phase);
  if (!is_current) {
    // A run that was marked as lost still completes its task, unless the task has been assigned again.
    const bool counts =
        completes_task && task->run == row.run && task->phase == TaskPhase::kWaiting && !IsFinal(job->state);
    if (!counts) {
      upstream.ends[row.number] = true;
      return;
    }
  }
  upstream.ends[row.number] = false;
  KeepCheckpoint(*task, row.checkpoint);
  if (is_current && completes_task) LearnFromEnd(*job, row.task, *task, upstream);
  if (is_current) ReleaseCapacity(*job, row.task, *task);
  job->has_started = true;
  if (row.kind == EndKind::kDone) upstream.consecutive_failures = 0;
  if (completes_task) {
    if (spec.is_gang && !step.is_gang_done) {
      step.is_gang_done = true;
      for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        TaskState& member = step.tasks[i];
        const TaskKey key{row.task.job, row.task.occurrence, row.task.step, i};
        if (member.phase == TaskPhase::kWaiting) FinishTask(*job, key, member);
      }
    }
    FinishTask(*job, row.task, *task);
  } else if (spec.is_gang && step.is_gang_done) {
    FinishTask(*job, row.task, *task);
  } else if (row.kind == EndKind::kFailed) {
    OnFailedRun(*job, row.task, *task, upstream);
  }
  if (spec.is_gang && !step.is_gang_done) StopUnconfirmedMembers(*job, row.task);
  if (!completes_task) {
    m_ports.events.Emit("run.ended", {{"task", FormatTaskKey(row.task)},
                                      {"run", std::to_string(row.run)},
                                      {"upstream", upstream.listing.id.value()},
                                      {"how", std::string(ToString(row.kind))}});
  }
  MarkChanged(*job, row.task.occurrence);
  WhenCommitted(*job, [this, id = upstream.listing.id, number = row.number, ended_incarnation = upstream.incarnation] {
    UpstreamState* state = FindUpstream(id);
    if (state == nullptr || state->incarnation != ended_incarnation) return;
    const auto end = state->ends.find(number);
    if (end != state->ends.end()) end->second = true;
    AcknowledgeEnds(*state);
  });
}

void Scheduler::OnFailedRun(Job& job, const TaskKey& key, TaskState& task, UpstreamState& upstream) {
  task.failed_on = upstream.listing.id;
  if (upstream.last_failed_job != job.id.value()) {
    upstream.last_failed_job = job.id.value();
    ++upstream.consecutive_failures;
  }
  if (upstream.consecutive_failures >= kQuarantineAfterFailures && upstream.quarantined_until <= m_now) {
    Quarantine(upstream, "failures");
  }
  if (IsFinal(job.state)) return;
  const StepSpec& spec = job.spec.steps[key.step];
  StepState& step = StepOf(job, key);
  TaskState& counted = spec.is_gang ? step.tasks.front() : task;
  if (spec.is_gang) {
    if (step.last_failed_gang_run >= task.run) return;
    step.last_failed_gang_run = task.run;
  }
  ++counted.failures;
  const QueueConfig* queue = QueueOf(job);
  const std::int64_t max_attempts = queue == nullptr ? 1 : queue->max_attempts;
  if (!spec.is_long_running && counted.failures >= max_attempts) EndJob(job, JobState::kFailed);
}

void Scheduler::AcknowledgeEnds(UpstreamState& upstream) {
  bool is_advanced = false;
  while (!upstream.ends.empty() && upstream.ends.begin()->second) {
    upstream.acknowledged_end = upstream.ends.begin()->first;
    upstream.ends.erase(upstream.ends.begin());
    is_advanced = true;
  }
  if (is_advanced && upstream.ends.empty()) upstream.next_sync = std::min(upstream.next_sync, m_now);
}

void Scheduler::MarkUnreportedTasksLost(UpstreamState& upstream, const std::set<TaskKey>& reported) {
  std::vector<TaskKey> lost;
  for (const TaskKey& key : upstream.tasks) {
    const TaskState* task = FindTask(key);
    if (task == nullptr || reported.contains(key) || task->phase == TaskPhase::kAssigned) continue;
    // The reply covers all starts acknowledged before the sync was sent, and all starts that the fence excludes.
    const bool is_fenced = task->token < upstream.sync_token;
    const bool is_older = task->confirmed_at < upstream.sync_sent_at;
    if (is_fenced || is_older) lost.push_back(key);
  }
  for (const TaskKey& key : lost) MarkTaskLost(key, "not in the list of its upstream");
}

void Scheduler::MarkAllTasksLost(UpstreamState& upstream, std::string_view reason) {
  for (const TaskKey& key : std::vector<TaskKey>(upstream.tasks)) MarkTaskLost(key, reason);
}

void Scheduler::MarkLapsedTasksLost(UpstreamState& upstream) {
  for (const TaskKey& key : std::vector<TaskKey>(upstream.tasks)) {
    // The start gets a lease of its own when it is sent.
    const TaskState* task = FindTask(key);
    if (task != nullptr && task->phase != TaskPhase::kAssigned) MarkTaskLost(key, "lease lapsed");
  }
}

void Scheduler::MarkTaskLost(const TaskKey& key, std::string_view reason) {
  Job* job = FindJob(key.job);
  TaskState* task = FindTask(key);
  if (job == nullptr || task == nullptr || !HasAllocation(task->phase)) return;
  m_ports.events.Emit("task.lost", {{"task", FormatTaskKey(key)},
                                    {"run", std::to_string(task->run)},
                                    {"upstream", task->upstream.value()},
                                    {"reason", std::string(reason)}});
  const bool is_gang = job->spec.steps[key.step].is_gang;
  ReleaseCapacity(*job, key, *task);
  StepState& step = StepOf(*job, key);
  if (is_gang && step.is_gang_done) {
    FinishTask(*job, key, *task);
  } else if (is_gang) {
    AbortGang(*job, key, "member was lost");
  }
  MarkChanged(*job, key.occurrence);
}

void Scheduler::StopStalledRuns(UpstreamState& upstream) {
  for (const TaskKey& key : std::vector<TaskKey>(upstream.tasks)) {
    TaskState* task = FindTask(key);
    if (task == nullptr || task->phase != TaskPhase::kRunning) continue;
    Job& job = *FindJob(key.job);
    const StepSpec& spec = job.spec.steps[key.step];
    if (spec.is_long_running || !IsStalled(spec, *task)) continue;
    if (spec.is_gang) {
      if (!HoldsUpGang(spec, StepOf(job, key), *task)) continue;
      ++task->stalls;
      Quarantine(upstream, "no progress of a gang member");
      AbortGang(job, key, "a member makes no progress");
      continue;
    }
    ++task->stalls;
    Quarantine(upstream, "no progress");
    StopTask(job, key, *task, "no progress");
  }
}

void Scheduler::LeaveDrainingUpstreams() {
  if (m_now < m_next_drain_check) return;
  m_next_drain_check = m_now + kDrainCheckInterval;
  for (auto& [id, upstream] : m_upstreams) {
    if (!upstream.listing.is_draining || !upstream.is_listed || !upstream.is_adopted) continue;
    for (const TaskKey& key : std::vector<TaskKey>(upstream.tasks)) {
      TaskState* task = FindTask(key);
      if (task == nullptr || task->phase != TaskPhase::kRunning) continue;
      Job& job = *FindJob(key.job);
      const StepSpec& spec = job.spec.steps[key.step];
      if (!spec.is_long_running || spec.is_gang || !HasCapacityFor(job, spec)) continue;
      if (!MayMoveAnotherTask(spec, StepOf(job, key))) continue;
      StopTask(job, key, *task, "upstream is draining");
    }
  }
}

bool Scheduler::MayMoveAnotherTask(const StepSpec& spec, const StepState& step) {
  std::int64_t unavailable = 0;
  std::int64_t to_move = 0;
  for (const TaskState& task : step.tasks) {
    const bool is_running = task.phase == TaskPhase::kRunning;
    unavailable += is_running ? 0 : 1;
    const UpstreamState* upstream = is_running ? FindUpstream(task.upstream) : nullptr;
    to_move += upstream != nullptr && upstream->listing.is_draining ? 1 : 0;
  }
  // An upstream drains for a few seconds and a move takes about one, so all tasks have to leave in two or three rounds.
  const std::int64_t round = (to_move + 1) / 2;
  return unavailable < std::max({std::int64_t{1}, spec.max_unavailable, round});
}

bool Scheduler::HasCapacityFor(const Job& job, const StepSpec& spec) const {
  const QueueConfig* queue = QueueOf(job);
  if (queue == nullptr) return false;
  return std::any_of(m_upstreams.begin(), m_upstreams.end(), [this, queue, &spec](const auto& entry) {
    return CanRunOn(spec, *queue, entry.second) && spec.allocated_resources().FitsIn(entry.second.FreeCapacity());
  });
}

bool Scheduler::IsStalled(const StepSpec& spec, const TaskState& task) const {
  const Duration estimated_percent = std::chrono::milliseconds(spec.estimate_ms) / kPercents;
  const Duration percent_duration = std::max(estimated_percent, task.percent_duration);
  const int doublings = std::clamp(task.stalls - 1, 0, kMaxStallTimeoutDoublings);
  const Duration timeout = std::max(kMinStallTimeout, percent_duration * kStallTimeoutPercents) * (1 << doublings);
  return task.phase == TaskPhase::kRunning && m_now - task.progressed_at >= timeout;
}

bool Scheduler::HoldsUpGang(const StepSpec& spec, const StepState& step, const TaskState& member) const {
  const auto is_running = [](const TaskState& other) { return other.phase == TaskPhase::kRunning; };
  if (!std::all_of(step.tasks.begin(), step.tasks.end(), is_running)) return false;
  // Members make no progress until the last one has started.
  const bool is_assembled = std::all_of(step.tasks.begin(), step.tasks.end(), [this](const TaskState& other) {
    return m_now - other.confirmed_at >= kMinStallTimeout;
  });
  if (!is_assembled) return false;
  const auto is_stalled = [this, &spec](const TaskState& other) { return IsStalled(spec, other); };
  if (std::all_of(step.tasks.begin(), step.tasks.end(), is_stalled)) {
    // The others may be waiting for the slowest one.
    return std::none_of(step.tasks.begin(), step.tasks.end(),
                        [&member](const TaskState& other) { return other.percent < member.percent; });
  }
  // Fast members wait at 100 percent for the others.
  return member.percent < kFinishedPercent;
}

void Scheduler::Quarantine(UpstreamState& upstream, std::string_view reason) {
  if (upstream.quarantined_until <= m_now) {
    m_ports.events.Emit("upstream.quarantined",
                        {{"upstream", upstream.listing.id.value()}, {"reason", std::string(reason)}});
  }
  upstream.quarantined_until = m_now + kQuarantine;
}

}  // namespace jaymast
