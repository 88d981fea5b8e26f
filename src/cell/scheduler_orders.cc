#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "cell/lease_record.h"
#include "cell/scheduler.h"
#include "cell/speed_record.h"
#include "jobs/job_record.h"

namespace jaymast {
namespace {

/// Tasks survive a network partition of 6 s between leader and upstream; tasks of a crashed upstream are started again
/// after this time.
constexpr Duration kLeaseDuration{7'000'000};
/// Leases end at most this long after the leadership was last confirmed, so a successor knows when tasks on unreachable
/// upstreams have ended.
constexpr Duration kMaxLeaseAfterConfirmation{10'000'000};
/// A start is sent only if the leadership was confirmed within this time; above the commit time of a slow store.
constexpr Duration kMaxStartUnconfirmed{1'000'000};
/// A start without a reply is sent this many times before the upstream is fenced.
constexpr std::int32_t kMaxSendAttempts = 3;
/// The end of the leases of an upstream is recorded after this time without a reply.
constexpr Duration kLeaseBoundDelay{1'000'000};
constexpr Duration kLeaseCheckInterval{200'000};
/// A transaction holds 100 rows. The leader row and the row of the speeds come on top of the batch.
constexpr std::size_t kMaxBatchRows = 98;
/// The learned speeds are written at most this often. A successor that lacks the last seconds has to learn little.
constexpr Duration kSpeedsInterval{5'000'000};

}  // namespace

void Scheduler::Assign(Job& job, const TaskKey& key, const UpstreamId& upstream) {
  StepState& step = StepOf(job, key);
  TaskState& task = step.tasks[key.index];
  task.phase = TaskPhase::kAssigned;
  ++task.run;
  task.send_attempts = 0;
  task.percent_duration = Duration::zero();
  task.reference = {};
  --step.waiting;
  AllocateCapacity(job, key, task, upstream);
  MarkChanged(job, key.occurrence);
  WhenCommitted(job, [this, key, run = task.run] { SendStart(key, run); });
}

std::int64_t Scheduler::GrantLease(UpstreamState& upstream) {
  const Time bound = m_leadership.confirmed_at + kMaxLeaseAfterConfirmation;
  const Duration span = std::min(kLeaseDuration, bound - m_now);
  if (span <= Duration::zero()) return 0;
  // The clock of the upstream may be slow, so the lease may last longer on the clock of the leader.
  upstream.leases_expire_at = std::max(upstream.leases_expire_at, m_now + span + span / 32 + kLeaseExpiryMargin);
  return upstream.ClockMsAt(m_now) + ToMillis(span);
}

void Scheduler::SetClock(UpstreamState& upstream, std::int64_t clock_ms) {
  // The restarted upstream may have taken the end of a lease on its earlier clock, and shortens it to the longest
  // lease.
  const std::int64_t margin_ms = ToMillis(kLeaseExpiryMargin);
  const bool has_restarted = clock_ms + margin_ms < upstream.clock_ms;
  if (has_restarted) upstream.leases_expire_at = std::max(upstream.leases_expire_at, m_now + kMaxLease);
  upstream.clock_ms = clock_ms;
  upstream.clock_at = m_now;
}

void Scheduler::LoadLeaseBounds(const LeaseBounds& bounds, std::int64_t store_now_ms) {
  for (const auto& [id, end_ms] : bounds) {
    UpstreamState& upstream = GetOrAddUpstream(id);
    upstream.recorded_lease_end_ms = end_ms;
    const Time end = m_now + std::chrono::milliseconds(std::max<std::int64_t>(0, end_ms - store_now_ms));
    upstream.leases_expire_at = std::min(upstream.leases_expire_at, end);
    m_ports.events.Emit("leases.known", {{"upstream", id.value()},
                                         {"ends_in_ms", std::to_string(ToMillis(upstream.leases_expire_at - m_now))}});
  }
}

void Scheduler::RecordLeaseBounds() {
  // Without the store a bound could not be withdrawn, and the upstream would get no lease when it replies again.
  const bool is_due = m_now >= m_next_lease_check && m_now - m_leadership.confirmed_at < kMaxStartUnconfirmed;
  if (!is_due || m_leadership.is_store_stalled) return;
  m_next_lease_check = m_now + kLeaseCheckInterval;
  std::size_t recorded = 0;
  for (const auto& [id, upstream] : m_upstreams) recorded += upstream.recorded_lease_end_ms > 0 ? 1 : 0;
  for (auto& [id, upstream] : m_upstreams) {
    if (upstream.tasks.empty()) {
      WithdrawLeaseBound(upstream);
      continue;
    }
    const Time silent_since = std::max(upstream.last_reply_at, m_took_over_at);
    // An upstream that was not adopted got no lease in this term.
    const bool gets_no_leases = !upstream.is_adopted || upstream.failed_syncs >= kUnreachableAfterFailedSyncs;
    const bool is_silent = gets_no_leases && m_now - silent_since >= kLeaseBoundDelay;
    if (!is_silent || upstream.recorded_lease_end_ms > 0 || recorded >= kMaxLeaseBounds) continue;
    ++recorded;
    upstream.recorded_lease_end_ms = m_leadership.max_store_now_ms + ToMillis(upstream.leases_expire_at - m_now) + 1;
    m_are_lease_bounds_changed = true;
    m_mark_dirty();
    m_ports.events.Emit(
        "leases.recorded",
        {{"upstream", id.value()}, {"ends_in_ms", std::to_string(ToMillis(upstream.leases_expire_at - m_now))}});
  }
}

void Scheduler::WithdrawLeaseBound(UpstreamState& upstream) {
  if (upstream.recorded_lease_end_ms == 0 || upstream.withdraws_lease_bound) return;
  upstream.withdraws_lease_bound = true;
  m_are_lease_bounds_changed = true;
  m_mark_dirty();
}

std::vector<UpstreamId> Scheduler::PutLeaseBounds(CommitBatch& batch) {
  std::vector<UpstreamId> withdrawn;
  if (!std::exchange(m_are_lease_bounds_changed, false)) return withdrawn;
  LeaseBounds bounds;
  for (const auto& [id, upstream] : m_upstreams) {
    if (upstream.recorded_lease_end_ms == 0) continue;
    if (upstream.withdraws_lease_bound) {
      withdrawn.push_back(id);
    } else {
      bounds[id] = upstream.recorded_lease_end_ms;
    }
  }
  batch.writes.push_back({kLeaderTable, kLeaseKey, EncodeLeaseBounds(bounds)});
  return withdrawn;
}

void Scheduler::LoadSpeeds(const std::vector<LearnedSlowness>& speeds) {
  std::vector<LearnedSlowness> current;
  for (const LearnedSlowness& learned : speeds) {
    const UpstreamState* upstream = FindUpstream(learned.upstream);
    const bool is_replaced =
        upstream != nullptr && upstream->incarnation != 0 && upstream->incarnation != learned.incarnation;
    if (!is_replaced) current.push_back(learned);
  }
  m_speeds.Load(current);
  m_speeds.Refresh();
  m_speeds.MarkExported();
  m_ports.events.Emit("speeds.loaded", {{"upstreams", std::to_string(current.size())}});
}

void Scheduler::RecordSpeeds() {
  if (m_now < m_next_speeds_write) return;
  m_next_speeds_write = m_now + kSpeedsInterval;
  m_speeds.Refresh();
  if (!m_speeds.HasChangedSinceExport()) return;
  m_are_speeds_due = true;
  m_mark_dirty();
}

void Scheduler::PutSpeeds(CommitBatch& batch) {
  if (!m_are_speeds_due || batch.writes.size() >= kMaxBatchRows) return;
  m_are_speeds_due = false;
  m_speeds.MarkExported();
  batch.writes.push_back({kLeaderTable, kSpeedsKey, EncodeSpeeds(m_speeds.Export())});
}

std::uint64_t Scheduler::PutEarlyCancels(CommitBatch& batch) {
  const std::size_t room = kMaxBatchRows - std::min(kMaxBatchRows, batch.writes.size());
  for (StateWrite& write : m_early_cancels.TakeWrites(room, m_now)) batch.writes.push_back(std::move(write));
  if (m_early_cancels.has_changes()) m_mark_dirty();
  return m_early_cancels.written_change();
}

bool Scheduler::MaySendStarts() const {
  // Another leader may have taken over while this process was paused. An upstream that has restarted since does not
  // know the fencing token of that leader and would accept the start.
  if (m_now - m_leadership.confirmed_at > kMaxStartUnconfirmed) return false;
  return m_freshness.IsRecent(FeedTopic::kUpstreams, m_now) && m_freshness.IsRecent(FeedTopic::kDomains, m_now);
}

void Scheduler::SendStart(const TaskKey& key, std::int32_t run) {
  TaskState* task = FindTask(key);
  if (task == nullptr || task->run != run) return;
  if (task->phase != TaskPhase::kAssigned && task->phase != TaskPhase::kStarting) return;
  if (!MaySendStarts()) {
    m_postponed_starts.emplace_back(key, run);
    return;
  }
  Job& job = *FindJob(key.job);
  UpstreamState& upstream = m_upstreams[task->upstream];
  StepState& step = StepOf(job, key);
  const bool is_first = task->phase == TaskPhase::kAssigned;
  const auto ticket = step.tickets.find(task->upstream);
  const QueueConfig* queue = QueueOf(job);
  const bool needs_ticket = queue != nullptr && queue->policy.has_value();
  const bool has_ticket = !needs_ticket || (ticket != step.tickets.end() && ticket->second.expiry > m_now);
  if (!IsUsable(upstream) || !has_ticket || IsFinal(job.state)) {
    if (is_first) {
      Unassign(job, key, *task, "upstream or ticket is not usable any more");
      if (job.spec.steps[key.step].is_gang) AbortGang(job, key, "member was not sent");
      return;
    }
    // The start may still arrive; after the fence the next sync shows whether it took effect.
    return Fence(upstream, task->token);
  }
  const std::int64_t until = GrantLease(upstream);
  if (upstream.sync_pause > Duration::zero()) upstream.next_sync = std::min(upstream.next_sync, m_now);
  task->phase = TaskPhase::kStarting;
  task->token = upstream.token;
  ++task->send_attempts;
  StartOrder order;
  order.target = {upstream.listing.id, upstream.listing.address, upstream.token};
  order.task = key;
  order.run = run;
  order.payload = job.spec.payload;
  order.checkpoint = task->checkpoint;
  if (needs_ticket) order.ticket = ticket->second.text;
  order.lease_until_ms = until;
  m_ports.upstreams.Start(order, [this, key, run, token = upstream.token](const OrderReply& reply) {
    OnStartReply(key, run, token, reply);
  });
}

void Scheduler::SendPostponedStarts() {
  if (m_postponed_starts.empty() || !MaySendStarts()) return;
  const auto postponed = std::exchange(m_postponed_starts, {});
  for (const auto& [key, run] : postponed) SendStart(key, run);
}

void Scheduler::OnStartReply(const TaskKey& key, std::int32_t run, std::uint64_t token, const OrderReply& reply) {
  TaskState* task = FindTask(key);
  if (m_is_retired || task == nullptr || task->run != run || task->phase != TaskPhase::kStarting) return;
  Job& job = *FindJob(key.job);
  UpstreamState& upstream = m_upstreams[task->upstream];
  const bool is_gang = job.spec.steps[key.step].is_gang;
  if (reply.clock_ms > 0) SetClock(upstream, reply.clock_ms);
  if (reply.status == OrderStatus::kAccepted) {
    m_ports.events.Emit("task.started",
                        {{"task", FormatTaskKey(key)},
                         {"run", std::to_string(run)},
                         {"upstream", task->upstream.value()},
                         {"after_ms", std::to_string(ToMillis(m_now - job.accepted))},
                         {"list_age_ms", AgeMs(FeedTopic::kUpstreams)},
                         {"makes_way_for", task->makes_way_for ? FormatStepKey(*task->makes_way_for) : ""}});
    task->phase = TaskPhase::kRunning;
    task->confirmed_at = m_now;
    task->progressed_at = m_now;
    // Members of a gang wait for the last one, and a run that resumes does not begin at 0.
    if (!is_gang && task->checkpoint.empty()) task->reference = {m_now, 0};
    OnRunning(StepOf(job, key));
    MarkStarted(job);
    return;
  }
  if (reply.status == OrderStatus::kUnknown) {
    m_order_timed_out_at = m_now;
    if (task->send_attempts < kMaxSendAttempts && token == upstream.token) {
      // Sent by the next tick: this process may have been paused before it handled the reply.
      m_postponed_starts.emplace_back(key, run);
      return;
    }
    return Fence(upstream, token);
  }
  m_ports.events.Emit("start.refused", {{"task", FormatTaskKey(key)},
                                        {"run", std::to_string(run)},
                                        {"upstream", task->upstream.value()},
                                        {"reason", std::string(ToString(reply.status))},
                                        {"attempt", std::to_string(task->send_attempts)}});
  // A refusal of a repeated start does not show whether the first one took effect.
  if (task->send_attempts > 1 || reply.status == OrderStatus::kFenced) return Fence(upstream, task->token);
  if (reply.status == OrderStatus::kBadTicket) StepOf(job, key).tickets.erase(task->upstream);
  if (reply.status == OrderStatus::kUnhealthy || reply.status == OrderStatus::kNotSent) {
    upstream.quarantined_until = m_now + kRefusalQuarantine;
  }
  if (reply.status == OrderStatus::kOtherIncarnation) upstream.next_sync = m_now;
  Unassign(job, key, *task, ToString(reply.status));
  if (is_gang) AbortGang(job, key, "member was refused");
}

void Scheduler::MarkStarted(Job& job) {
  if (job.has_started) return;
  // Not recorded by itself: a new leader learns it from the upstreams.
  job.has_started = true;
  if (job.state == JobState::kPending) job.state = JobState::kRunning;
  if (job.committed_state == JobState::kPending && job.committed_change > 0) job.committed_state = JobState::kRunning;
}

void Scheduler::Unassign(Job& job, const TaskKey& key, TaskState& task, std::string_view reason) {
  m_ports.events.Emit("task.unassigned", {{"task", FormatTaskKey(key)},
                                          {"run", std::to_string(task.run)},
                                          {"upstream", task.upstream.value()},
                                          {"reason", std::string(reason)}});
  ReleaseCapacity(job, key, task);
  MarkChanged(job, key.occurrence);
}

void Scheduler::Fence(UpstreamState& upstream, std::uint64_t order_token) {
  // Orders with a lower fencing token have no effect once the upstream has replied to a sync with the new one.
  if (order_token == upstream.token) upstream.token = (m_epoch << 20U) + ++m_token_counter;
  if (upstream.sync_token == upstream.token) return;
  upstream.next_sync = m_now;
  upstream.is_syncing = false;
  ++upstream.sync_number;
}

void Scheduler::StopTask(Job& job, const TaskKey& key, TaskState& task, std::string_view reason) {
  if (task.phase == TaskPhase::kAssigned) {
    Unassign(job, key, task, reason);
    return;
  }
  if (task.phase != TaskPhase::kStarting && task.phase != TaskPhase::kRunning) return;
  m_ports.events.Emit("task.stop", {{"task", FormatTaskKey(key)},
                                    {"run", std::to_string(task.run)},
                                    {"upstream", task.upstream.value()},
                                    {"reason", std::string(reason)}});
  task.phase = TaskPhase::kStopping;
  task.confirmed_at = Time::max();
  MarkChanged(job, key.occurrence);
  task.stop_retry_at = m_now + kStopRetryDelay;
  UpstreamState& upstream = m_upstreams[task.upstream];
  upstream.next_stop = std::min(upstream.next_stop, task.stop_retry_at);
  SendStop(upstream, key, task.run);
}

void Scheduler::SendStop(const UpstreamState& upstream, const TaskKey& key, std::int32_t run) {
  StopOrder order;
  order.target = {upstream.listing.id, upstream.listing.address, upstream.token};
  order.task = key;
  order.run = run;
  m_ports.upstreams.Stop(order, [this, key, run](const OrderReply& reply) {
    TaskState* task = FindTask(key);
    if (task == nullptr || task->run != run || task->phase != TaskPhase::kStopping) return;
    // From now on a sync reply without the run means that it has ended or will not begin.
    if (reply.status == OrderStatus::kAccepted && task->confirmed_at == Time::max()) task->confirmed_at = m_now;
  });
}

void Scheduler::StopAll(Job& job, std::string_view reason) {
  for (auto& [k, occurrence] : job.occurrences) {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      StepState& step = occurrence.steps[s];
      for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        StopTask(job, TaskKey{job.id, k, s, i}, step.tasks[i], reason);
      }
    }
  }
}

void Scheduler::AbortGang(Job& job, const TaskKey& key, std::string_view reason) {
  StepState& step = StepOf(job, key);
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    StopTask(job, TaskKey{key.job, key.occurrence, key.step, i}, step.tasks[i], reason);
  }
}

void Scheduler::StopUnconfirmedMembers(Job& job, const TaskKey& key) {
  StepState& step = StepOf(job, key);
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    const TaskPhase phase = step.tasks[i].phase;
    if (phase != TaskPhase::kAssigned && phase != TaskPhase::kStarting) continue;
    StopTask(job, TaskKey{key.job, key.occurrence, key.step, i}, step.tasks[i], "gang is broken");
  }
}

}  // namespace jaymast
