// Dispatch of tasks and handling of their outcomes: hold, claim, start, result.
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "membership/membership.h"
#include "ownership/owner_record.h"
#include "routing/router.h"
#include "tasks/idempotency.h"
#include "tasks/task_manager.h"

namespace jaymast {
namespace {

/// Further hold requests would only wait in the queues of the owners.
constexpr std::size_t kMaxOpenHoldRequests = 256;

constexpr Duration kHoldTimeout = std::chrono::milliseconds(1500);
constexpr Duration kFirstBackoff = std::chrono::milliseconds(50);
constexpr std::int64_t kMaxBackoffDoublings = 5;
constexpr Duration kFirstProbeDelay = std::chrono::seconds(3);
constexpr Duration kProbeInterval = std::chrono::seconds(10);
constexpr Duration kCommitRetryDelay = std::chrono::milliseconds(500);

/// After failures on this many different upstreams, the fault is taken to be in the task and not in the upstreams.
constexpr std::size_t kMaxFailedUpstreams = 3;

constexpr std::array<WorkClass, 5> kDispatchOrder = {WorkClass::kPreview, WorkClass::kUrgent, WorkClass::kService,
                                                     WorkClass::kGang, WorkClass::kBatch};

/// Whether this task will not be placed again, so that the rest of its gang need not wait for it.
bool IsPlacementFinal(const HomeTask& task) {
  if (task.phase == HomeTaskPhase::kEnded) return true;
  return task.phase == HomeTaskPhase::kStarted && task.spec.semantics == Semantics::kAtMostOnce;
}

}  // namespace

void TaskManager::Enqueue(HomeTask& task) {
  task.phase = HomeTaskPhase::kQueued;
  m_started_tasks.erase(task.spec.id);
  m_queue.Push(task.spec.work_class, task.spec.team, task.spec.id);
  DispatchQueue();
}

void TaskManager::DispatchQueue() {
  if (m_is_draining) return;
  for (const WorkClass work_class : kDispatchOrder) {
    while (m_open_hold_requests < kMaxOpenHoldRequests && DispatchNext(work_class)) {
    }
  }
}

bool TaskManager::DispatchNext(WorkClass work_class) {
  const std::optional<TaskId> id = m_queue.Pop(work_class);
  if (!id) return false;
  const auto found = m_tasks.find(*id);
  if (found == m_tasks.end() || found->second.phase != HomeTaskPhase::kQueued) return true;
  if (found->second.spec.gang.empty()) {
    RequestHold(found->second);
  } else {
    DispatchGang(*id);
  }
  return true;
}

void TaskManager::RequestHold(HomeTask& task) {
  const std::optional<EntryId> owner = m_router.ChooseForDurable(task.spec, task.refused_by);
  if (!owner) return Requeue(task, "no entry serves upstreams for this task");
  task.phase = HomeTaskPhase::kHolding;
  ++task.attempt;
  ++m_open_hold_requests;
  task.owner = *owner;
  m_router.AddPendingDemand(*owner, task.spec.demand);
  HoldRequest request;
  request.spec = task.spec;
  request.spec.body.clear();
  request.attempt = task.attempt;
  const AttemptId id{task.spec.id, task.attempt};
  m_context.After(kHoldTimeout, [this, id] { OnHoldTimeout(id); });
  m_hooks.send(*owner, request);
}

void TaskManager::OnHoldTimeout(const AttemptId& id) {
  HomeTask* task = Find(id);
  if (task == nullptr || task->phase != HomeTaskPhase::kHolding) return;
  CloseHoldRequest(*task);
  ReleaseHoldOf(*task);
  task->refused_by.insert(task->owner);
  Requeue(*task, "the owner did not answer");
}

void TaskManager::CloseHoldRequest(const HomeTask& task) {
  --m_open_hold_requests;
  m_router.RemovePendingDemand(task.owner, task.spec.demand);
}

void TaskManager::ReleaseHoldOf(const HomeTask& task) {
  m_hooks.send(task.owner, ReleaseHold{AttemptId{task.spec.id, task.attempt}});
}

void TaskManager::OnHoldReply(const EntryId& from, const HoldReply& reply) {
  HomeTask* task = Find(reply.id);
  if (task == nullptr || task->phase != HomeTaskPhase::kHolding || task->owner != from) {
    if (reply.granted) m_hooks.send(from, ReleaseHold{reply.id});
    return;
  }
  CloseHoldRequest(*task);
  if (!reply.granted) {
    task->refused_by.insert(from);
    return Requeue(*task, reply.reason);
  }
  task->upstream = reply.upstream;
  task->epoch = reply.epoch;
  task->domain = DomainOf(from);
  if (task->spec.gang.empty()) {
    Claim(*task);
  } else {
    task->phase = HomeTaskPhase::kHeld;
    CheckGang(task->spec.gang);
  }
  DispatchQueue();
}

void TaskManager::Requeue(HomeTask& task, const std::string& reason) {
  task.wait_reason = reason;
  if (task.cancel_requested) {
    const Verdict verdict =
        task.is_claimed && task.phase == HomeTaskPhase::kStarted ? Verdict::kMayHaveRun : Verdict::kNotRun;
    return End(task, TaskEnd{EndState::kCancelled, verdict, ErrorId::kTaskCancelled, "cancelled"}, EntryId());
  }
  task.phase = HomeTaskPhase::kQueued;
  m_started_tasks.erase(task.spec.id);
  EmitTask(EventKind::kTaskRetried, task, reason);
  if (!task.spec.gang.empty()) AbandonGangHolds(task.spec.gang);
  const std::int64_t doublings = std::min(task.backoff_count++, kMaxBackoffDoublings);
  const Duration backoff = m_context.Jittered(kFirstBackoff * (1 << doublings));
  m_context.After(backoff, [this, id = task.spec.id] {
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end() || found->second.phase != HomeTaskPhase::kQueued) return;
    if (found->second.refused_by.size() > m_membership.peers().size()) found->second.refused_by.clear();
    Enqueue(found->second);
  });
}

std::vector<HomeTask*> TaskManager::GangMembers(const GangId& gang) {
  std::vector<HomeTask*> members;
  const auto found = m_gangs.find(gang);
  if (found == m_gangs.end()) return members;
  for (const TaskId& id : found->second) {
    const auto task = m_tasks.find(id);
    if (task != m_tasks.end()) members.push_back(&task->second);
  }
  return members;
}

void TaskManager::DispatchGang(const TaskId& member) {
  const HomeTask& first = m_tasks.at(member);
  const std::vector<HomeTask*> members = GangMembers(first.spec.gang);
  const bool is_complete = static_cast<std::int64_t>(members.size()) == first.spec.gang_size;
  const bool is_ready = is_complete && std::all_of(members.begin(), members.end(), [](const HomeTask* task) {
                          return task->phase == HomeTaskPhase::kQueued || IsPlacementFinal(*task);
                        });
  // The last member to be queued dispatches the gang.
  if (!is_ready) return;
  const GangId gang = first.spec.gang;
  for (HomeTask* task : members) {
    if (task->phase == HomeTaskPhase::kQueued) m_queue.Erase(task->spec.id);
  }
  for (HomeTask* task : members) {
    if (task->phase == HomeTaskPhase::kQueued) RequestHold(*task);
  }
  CheckGang(gang);
}

void TaskManager::CheckGang(const GangId& gang) {
  const std::vector<HomeTask*> members = GangMembers(gang);
  const bool is_held = std::all_of(members.begin(), members.end(), [](const HomeTask* task) {
    return task->phase == HomeTaskPhase::kHeld || IsPlacementFinal(*task);
  });
  if (!is_held) return;
  for (HomeTask* task : members) {
    if (task->phase == HomeTaskPhase::kHeld) Claim(*task);
  }
}

void TaskManager::OnGangMemberEnded(const GangId& gang) {
  CheckGang(gang);
  // Queued members had to wait for this one to end.
  for (HomeTask* task : GangMembers(gang)) {
    if (task->phase == HomeTaskPhase::kQueued) return Enqueue(*task);
  }
}

void TaskManager::AbandonGangHolds(const GangId& gang) {
  for (HomeTask* task : GangMembers(gang)) {
    if (task->phase != HomeTaskPhase::kHeld && task->phase != HomeTaskPhase::kHolding) continue;
    if (task->phase == HomeTaskPhase::kHolding) CloseHoldRequest(*task);
    ReleaseHoldOf(*task);
    task->phase = HomeTaskPhase::kQueued;
    // The member that could not be placed re-enqueues the gang after its backoff.
    task->wait_reason = "another member of the gang could not be placed";
  }
}

void TaskManager::StopOtherGangMembers(const HomeTask& ended_member) {
  for (const HomeTask* task : GangMembers(ended_member.spec.gang)) {
    if (task->phase != HomeTaskPhase::kStarted || task->spec.id == ended_member.spec.id) continue;
    // At-most-once members must not be restarted, so they keep running while the others are placed again.
    if (task->spec.semantics == Semantics::kAtMostOnce) continue;
    m_hooks.send(task->owner, StopOrder{AttemptId{task->spec.id, task->attempt}, StopMode::kCheckpoint});
  }
}

void TaskManager::Claim(HomeTask& task) {
  task.phase = HomeTaskPhase::kClaiming;
  JournalRecord record;
  record.kind = JournalRecordKind::kClaimed;
  record.id = AttemptId{task.spec.id, task.attempt};
  record.owner = task.owner;
  record.upstream = task.upstream;
  record.domain = task.domain;
  record.epoch = task.epoch;
  const AttemptId id = record.id;
  m_journal.Append(std::move(record), std::nullopt, [this, id](CommitOutcome outcome) { OnClaimed(id, outcome); });
}

void TaskManager::OnClaimed(const AttemptId& id, CommitOutcome outcome) {
  HomeTask* task = Find(id);
  if (task == nullptr || task->phase != HomeTaskPhase::kClaiming) return;
  if (outcome != CommitOutcome::kCommitted) {
    ReleaseHoldOf(*task);
    return Requeue(*task, "the claim could not be recorded");
  }
  if (task->cancel_requested) {
    ReleaseHoldOf(*task);
    return Requeue(*task, "cancelled");
  }
  task->is_claimed = true;
  task->phase = HomeTaskPhase::kStarted;
  task->unanswered_probes = 0;
  task->next_probe = m_context.Now() + kFirstProbeDelay;
  m_started_tasks.insert(task->spec.id);
  EmitTask(EventKind::kTaskClaimed, *task, std::string(ToString(task->spec.semantics)));
  m_hooks.send(task->owner, StartOrder{task->spec, task->attempt, task->checkpoint});
}

void TaskManager::Cancel(HomeTask& task) {
  if (task.phase == HomeTaskPhase::kEnded || task.phase == HomeTaskPhase::kEnding) return;
  task.cancel_requested = true;
  if (task.phase == HomeTaskPhase::kQueued) {
    m_queue.Erase(task.spec.id);
    return End(task, TaskEnd{EndState::kCancelled, Verdict::kNotRun, ErrorId::kTaskCancelled, "cancelled"}, EntryId());
  }
  if (task.phase == HomeTaskPhase::kStarted) {
    m_hooks.send(task.owner, StopOrder{AttemptId{task.spec.id, task.attempt}, StopMode::kStop});
  }
}

void TaskManager::OnRunning(const TaskRunning& running) {
  HomeTask* task = Find(running.id);
  if (task == nullptr || task->phase != HomeTaskPhase::kStarted) return;
  task->unanswered_probes = 0;
  task->backoff_count = 0;
  task->next_probe = m_context.Now() + kProbeInterval;
  if (task->cancel_requested) m_hooks.send(task->owner, StopOrder{running.id, StopMode::kStop});
}

void TaskManager::ProbeNewOwner(const AttemptId& id) {
  const HomeTask* task = Find(id);
  if (task == nullptr) return;
  ReadRequest request;
  request.keys.push_back(OwnerKey(task->domain, task->upstream));
  m_table.Read(request, [this, id](const ReadReply& reply) {
    HomeTask* current = Find(id);
    if (current == nullptr || current->phase != HomeTaskPhase::kStarted || reply.rows.empty()) return;
    const Result<OwnerRecord> record = DecodeOwnerRecord(reply.rows.front().value);
    if (!record || record->owner == current->owner) return;
    current->owner = record->owner;
    m_hooks.send(current->owner, TaskProbe{id, current->upstream, current->epoch});
  });
}

void TaskManager::OnResult(const EntryId& from, const TaskResult& result) {
  HomeTask* task = Find(result.id);
  if (task == nullptr || task->phase != HomeTaskPhase::kStarted) {
    // Results of former attempts are acknowledged at once, that of the current attempt once it is committed.
    const bool is_being_committed = task != nullptr && task->phase == HomeTaskPhase::kEnding;
    if (!is_being_committed) Acknowledge(from, result.id);
    return;
  }
  task->owner = from;
  Apply(*task, from, result);
}

void TaskManager::Acknowledge(const EntryId& to, const AttemptId& id) {
  if (!to.empty()) m_hooks.send(to, TaskResultAck{id});
}

void TaskManager::Apply(HomeTask& task, const EntryId& from, const TaskResult& result) {
  switch (result.outcome) {
    case Outcome::kSucceeded:
      if (task.spec.work_class == WorkClass::kService) {
        Acknowledge(from, result.id);
        return Requeue(task, "the service ended and is started again");
      }
      return End(task, TaskEnd{EndState::kSucceeded, Verdict::kRan, ErrorId::kNone, result.output}, from);
    case Outcome::kFailed:
      return ApplyFailure(task, from, result);
    case Outcome::kStopped:
      if (task.cancel_requested) {
        return End(task, TaskEnd{EndState::kCancelled, Verdict::kRan, ErrorId::kTaskCancelled, "cancelled"}, from);
      }
      return ApplyFailure(task, from, result);
    case Outcome::kCheckpointed:
      return CommitCheckpoint(task, from, result);
    case Outcome::kExpired:
      if (task.spec.semantics == Semantics::kAtMostOnce) {
        return End(task,
                   TaskEnd{EndState::kUnknown, Verdict::kMayHaveRun, ErrorId::kOutcomeUnknown,
                           "the upstream was lost while the task ran"},
                   from);
      }
      [[fallthrough]];
    case Outcome::kNotStarted:
      Acknowledge(from, result.id);
      StopOtherGangMembers(task);
      return Requeue(task, result.outcome == Outcome::kExpired ? "the task lease lapsed" : "the start was refused");
  }
}

void TaskManager::ApplyFailure(HomeTask& task, const EntryId& from, const TaskResult& result) {
  task.failed_on.insert(result.upstream);
  const bool is_service = task.spec.work_class == WorkClass::kService;
  const bool may_retry = task.spec.semantics != Semantics::kAtMostOnce &&
                         (is_service || task.failed_on.size() < kMaxFailedUpstreams) && !task.cancel_requested;
  if (!may_retry) {
    return End(task, TaskEnd{EndState::kFailed, Verdict::kRan, ErrorId::kTaskFailed, result.output}, from);
  }
  Acknowledge(from, result.id);
  StopOtherGangMembers(task);
  // Prefers another owner, because the upstream may be at fault.
  task.refused_by.insert(from);
  Requeue(task, "failed: " + result.output);
}

void TaskManager::CommitCheckpoint(HomeTask& task, const EntryId& from, const TaskResult& result) {
  task.phase = HomeTaskPhase::kEnding;
  m_started_tasks.erase(task.spec.id);
  JournalRecord record;
  record.kind = JournalRecordKind::kReleased;
  record.id = result.id;
  record.checkpoint = result.output;
  m_journal.Append(std::move(record), std::nullopt, [this, from, result](CommitOutcome outcome) {
    HomeTask* current = Find(result.id);
    if (current == nullptr) return;
    if (outcome != CommitOutcome::kCommitted) {
      m_context.After(kCommitRetryDelay, [this, from, result] {
        if (HomeTask* again = Find(result.id)) CommitCheckpoint(*again, from, result);
      });
      return;
    }
    Acknowledge(from, result.id);
    current->checkpoint = result.output;
    StopOtherGangMembers(*current);
    Requeue(*current, "checkpointed to be moved");
  });
}

void TaskManager::End(HomeTask& task, TaskEnd end, const EntryId& acknowledge_to) {
  task.end = std::move(end);
  task.phase = HomeTaskPhase::kEnding;
  m_started_tasks.erase(task.spec.id);
  CommitEnd(AttemptId{task.spec.id, task.attempt}, acknowledge_to);
}

void TaskManager::CommitEnd(const AttemptId& id, const EntryId& acknowledge_to) {
  const HomeTask* task = Find(id);
  if (task == nullptr) return;
  JournalRecord record;
  record.kind = JournalRecordKind::kEnded;
  record.id = id;
  record.end = task->end;
  m_journal.Append(std::move(record), std::nullopt, [this, id, acknowledge_to](CommitOutcome outcome) {
    HomeTask* current = Find(id);
    if (current == nullptr) return;
    if (outcome != CommitOutcome::kCommitted) {
      // The commit is retried until the store is available. Callers get the outcome now, which is safe because the
      // runner keeps the unacknowledged result for an entry that adopts the task.
      current->is_outcome_known = true;
      NotifyWaiters(id.task);
      CheckSubmissionsOf(id.task);
      m_context.After(kCommitRetryDelay, [this, id, acknowledge_to] { CommitEnd(id, acknowledge_to); });
      return;
    }
    Acknowledge(acknowledge_to, id);
    current->phase = HomeTaskPhase::kEnded;
    EmitTask(EventKind::kTaskEnded, *current, std::string(ToString(current->end.state)));
    NotifyWaiters(id.task);
    CheckSubmissionsOf(id.task);
    const GangId gang = current->spec.gang;
    RetainOutcome(id.task);
    if (!gang.empty()) OnGangMemberEnded(gang);
  });
}

void TaskManager::RetainOutcome(const TaskId& task) {
  m_retained_tasks.push_back(task);
  if (m_retained_tasks.size() <= static_cast<std::size_t>(m_context.settings.max_retained_outcomes)) return;
  const TaskId oldest = m_retained_tasks.front();
  m_retained_tasks.pop_front();
  const auto found = m_tasks.find(oldest);
  if (found == m_tasks.end()) return;
  const std::string idempotency_row = IdempotencyRowKey(found->second.spec);
  m_journal.Remove(oldest, idempotency_row);
  m_task_by_idem_row.erase(idempotency_row);
  const auto gang = m_gangs.find(found->second.spec.gang);
  if (gang != m_gangs.end() && gang->second.erase(oldest) > 0 && gang->second.empty()) m_gangs.erase(gang);
  m_tasks.erase(found);
}

}  // namespace jaymast
