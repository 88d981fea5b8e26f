#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/context.h"
#include "core/peer_message.h"
#include "core/request.h"
#include "core/table_client.h"
#include "tasks/home_task.h"
#include "tasks/task_journal.h"
#include "tasks/task_queue.h"

namespace jaymast {

class ConfigStore;
class Membership;
class Router;

/// Accepts durable tasks as their home entry, journals their state, and drives each to exactly one outcome.
class TaskManager {
 public:
  struct Hooks {
    std::function<void(const EntryId&, const PeerMessage&)> send;  ///< to a peer or to this entry itself
  };

  TaskManager(Context& context, TableClient& table, const ConfigStore& config, const Membership& membership,
              Router& router, Hooks hooks);

  void Start();

  /// Submits tasks of an authenticated caller. `team` must be set in each spec.
  /// @param wait_until time of the response if tasks have no outcome by then; later if an acceptance is not committed
  void Submit(RequestId request, std::vector<TaskSpec> specs, Time wait_until);

  /// Submits the tasks of a confirmed plan. Idempotent by plan id. `done` gets whether all tasks were accepted.
  void SubmitForPlan(const PlanId& plan, std::vector<TaskSpec> specs, std::function<void(bool)> done);

  /// Responds with the state of a task when it has an outcome, at the latest at `wait_until`. A query that is
  /// forwarded to the home entry of the task may take a few seconds longer.
  /// @param team only tasks of this team are found; empty for tasks of all teams
  /// @param cancel whether to cancel the task first
  void Query(RequestId request, const TeamId& team, const TaskId& task, bool cancel, Time wait_until);

  /// Forgets a request whose caller has disconnected.
  void OnRequestGone(RequestId request);

  void OnHoldReply(const EntryId& from, const HoldReply& reply);
  void OnResult(const EntryId& from, const TaskResult& result);
  void OnRunning(const TaskRunning& running);
  void OnQuery(const EntryId& from, const TaskQuery& query);
  void OnQueryReply(const TaskQueryReply& reply);

  /// Processes the rows `adopt/<home>`, which name the entry that adopts the tasks of a former home entry. Loads tasks
  /// that this entry adopts, and takes over those of an adopter that has left.
  void OnAdoptRows(const std::vector<Row>& rows);

  /// Begins a planned shutdown: new tasks are refused, accepted ones are continued until Drain().
  void StopAccepting() { m_is_closed = true; }

  /// Whether callers are waiting for outcomes.
  bool HasWaiters() const { return !m_waiters.empty() || !m_submissions.empty(); }

  /// Stops requesting holds and reports the current task states to all waiting callers.
  void Drain();

  /// Whether no write, hold request, submission or forwarded query is pending.
  bool IsQuiet() const;

  std::size_t queued() const { return m_queue.size(); }
  const std::map<TaskId, HomeTask>& tasks() const { return m_tasks; }

 private:
  /// A submission whose caller waits for acceptance and then for the outcomes.
  struct Submission {
    RequestId request = 0;
    std::vector<TaskId> tasks;
    std::map<TaskId, Error> refused;
    std::size_t open_accepts = 0;  ///< tasks whose acceptance is neither committed nor refused
    Time wait_until;
    Time accept_by;  ///< time of the response if an acceptance is still not committed
  };

  /// A caller, or a peer on behalf of a caller, that waits for one task.
  struct Waiter {
    RequestId request = 0;
    EntryId peer;  ///< empty for a caller of this entry
    std::uint64_t call = 0;
    TaskId task;
  };

  /// A query that was forwarded to the home entry of its task.
  struct ForwardedQuery {
    RequestId request = 0;
    TaskId task;
    TeamId team;
    bool cancel = false;
    Time wait_until;
  };

  // Acceptance.
  TaskId NewTaskId();
  std::optional<Error> CheckAdmission(std::size_t count) const;
  void Accept(TaskSpec spec, std::uint64_t submission);
  void OnAccepted(const TaskId& task, std::uint64_t submission, CommitOutcome outcome);
  /// Joins a task to the first one with its idempotency key at this entry.
  void AttachToFirst(const TaskId& first, const TaskId& repeated, std::uint64_t submission);
  void CloseAttached(const TaskId& first, const std::optional<Error>& refused);
  /// Looks up the accepted task of an idempotency key in the table.
  void ResolveDuplicate(const TaskId& task, std::uint64_t submission);
  void OnDuplicate(std::uint64_t submission, const TaskId& refused, const std::string& digest, const Row& row);
  void FinishAcceptance(std::uint64_t submission);
  void CheckSubmission(std::uint64_t submission);
  void FinishSubmission(std::uint64_t submission, bool is_timeout);
  void CancelIncompleteGang(const Submission& submission);
  void CheckSubmissionsOf(const TaskId& task);

  // Queries.
  void QueryHome(const EntryId& home, std::uint64_t call);
  void ScheduleForwardRetry(std::uint64_t call);
  void ForwardQuery(const TaskId& task, std::uint64_t call);
  void AddWaiter(Waiter waiter, Time wait_until);
  void NotifyWaiters(const TaskId& task);
  void NotifyWaiter(const Waiter& waiter);
  void FailForwarded(std::uint64_t call, int status, const Error& error);
  void Cancel(HomeTask& task);

  // Dispatch.
  void DispatchQueue();
  bool DispatchNext(WorkClass work_class);
  void RequestHold(HomeTask& task);
  void OnHoldTimeout(const AttemptId& id);
  void DispatchGang(const TaskId& member);
  std::vector<HomeTask*> GangMembers(const GangId& gang);
  void CheckGang(const GangId& gang);
  void OnGangMemberEnded(const GangId& gang);
  void AbandonGangHolds(const GangId& gang);
  void StopOtherGangMembers(const HomeTask& ended_member);
  void Claim(HomeTask& task);
  void OnClaimed(const AttemptId& id, CommitOutcome outcome);
  void Requeue(HomeTask& task, const std::string& reason);
  void Enqueue(HomeTask& task);
  void CloseHoldRequest(const HomeTask& task);
  void ReleaseHoldOf(const HomeTask& task);

  // Outcomes.
  void Apply(HomeTask& task, const EntryId& from, const TaskResult& result);
  void ApplyFailure(HomeTask& task, const EntryId& from, const TaskResult& result);
  void CommitCheckpoint(HomeTask& task, const EntryId& from, const TaskResult& result);
  void End(HomeTask& task, TaskEnd end, const EntryId& acknowledge_to);
  void CommitEnd(const AttemptId& id, const EntryId& acknowledge_to);
  void Acknowledge(const EntryId& to, const AttemptId& id);
  void RetainOutcome(const TaskId& task);
  void ProbeStarted();
  void Probe(HomeTask& task);
  void ProbeNewOwner(const AttemptId& id);

  // Adoption.
  void AdoptOrphan(const EntryId& home, std::int64_t row_version);
  void LoadJournal(const EntryId& home);
  void ApplyRecord(const JournalRecord& record);
  void ResumeAdopted(const std::set<TaskId>& tasks);

  /// Returns the task of the attempt, or nullptr if the attempt is not its current one.
  HomeTask* Find(const AttemptId& id);
  void EmitTask(EventKind kind, const HomeTask& task, const std::string& detail);

  Context& m_context;
  TableClient& m_table;
  const ConfigStore& m_config;
  const Membership& m_membership;
  Router& m_router;
  Hooks m_hooks;
  TaskJournal m_journal;
  TaskQueue m_queue;
  std::map<TaskId, HomeTask> m_tasks;
  std::map<GangId, std::set<TaskId>> m_gangs;
  std::map<std::string, TaskId> m_task_by_idem_row;  ///< by row key of the idempotency key
  std::map<std::uint64_t, Submission> m_submissions;
  std::map<TaskId, std::set<std::uint64_t>> m_submissions_by_task;
  std::map<TaskId, std::vector<std::uint64_t>>
      m_attached_submissions;  ///< repeated submissions of a task in phase kAccepting
  std::multimap<TaskId, Waiter> m_waiters;
  std::map<std::uint64_t, ForwardedQuery> m_forwarded_queries;
  std::map<std::uint64_t, std::function<void(bool)>> m_plan_submissions;
  std::set<TaskId> m_started_tasks;  ///< tasks in phase kStarted, which are probed
  std::set<EntryId> m_adopted_homes;
  std::deque<TaskId> m_retained_tasks;
  std::uint64_t m_next_task = 1;
  std::uint64_t m_next_gang = 1;
  std::uint64_t m_next_call = 1;
  std::size_t m_open_hold_requests = 0;
  bool m_is_closed = false;    ///< refuses new tasks and adopts none
  bool m_is_draining = false;  ///< requests no holds
};

}  // namespace jaymast
