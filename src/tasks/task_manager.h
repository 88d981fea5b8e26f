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

/// Home role: accepts durable tasks, keeps their journal, and brings each to one outcome.
class TaskManager {
 public:
  struct Hooks {
    std::function<void(const EntryId&, const PeerMessage&)> send;  ///< to a peer or to this entry
  };

  TaskManager(Context& context, TableClient& table, const ConfigStore& config, const Membership& membership,
              Router& router, Hooks hooks);

  void Start();

  /// Accepts tasks of an authenticated caller; their teams are set.
  void Submit(RequestId request, std::vector<TaskSpec> specs, Time wait_until);

  /// Accepts the tasks of a confirmed plan. A repeated call with the same key has no further effect.
  void SubmitForPlan(const PlanId& plan, std::vector<TaskSpec> specs, std::function<void(bool)> done);

  void Query(RequestId request, const TeamId& team, const TaskId& task, bool cancel, Time wait_until);
  void OnRequestGone(RequestId request);

  void OnHoldReply(const EntryId& from, const HoldReply& reply);
  void OnResult(const EntryId& from, const TaskResult& result);
  void OnRunning(const TaskRunning& running);
  void OnQuery(const EntryId& from, const TaskQuery& query);
  void OnQueryReply(const TaskQueryReply& reply);

  /// Takes in the rows of a read of the prefix `adopt/`.
  void OnAdoptRows(const std::vector<Row>& rows);

  /// Begins a planned stop: no new tasks are accepted, and those of waiting callers go on.
  void StopAccepting() { m_closed = true; }

  /// Whether callers wait for outcomes.
  bool HasWaiters() const { return !m_waiters.empty() || !m_submissions.empty(); }

  /// Stops asking for holds, and answers all waiting callers with the state of their tasks.
  void Drain();

  /// Whether no write is open and no owner was asked for a hold.
  bool IsQuiet() const;

  std::size_t queued() const { return m_queue.size(); }
  const std::map<TaskId, HomeTask>& tasks() const { return m_tasks; }

 private:
  /// A submission whose caller waits for acceptance, and then for the outcomes.
  struct Submission {
    RequestId request = 0;
    std::vector<TaskId> tasks;
    std::map<TaskId, Error> refused;
    std::size_t open_accepts = 0;
    Time wait_until;
    Time accept_by;  ///< latest answer when the acceptance is not confirmed
  };

  /// A caller, or another entry on behalf of a caller, that waits for one task.
  struct Waiter {
    RequestId request = 0;
    EntryId peer;  ///< empty for a caller of this entry
    std::uint64_t call = 0;
    TaskId task;
  };

  /// A query that was forwarded to another home entry.
  struct Forwarded {
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
  void JoinFirst(const TaskId& first, const TaskId& repeated, std::uint64_t submission);
  void CloseJoined(const TaskId& first, const std::optional<Error>& refused);
  void ResolveDuplicate(const TaskId& task, std::uint64_t submission);
  void OnDuplicate(std::uint64_t submission, const TaskId& refused, const std::string& digest, const Row& row);
  void CloseAccept(std::uint64_t submission);
  void CheckSubmission(std::uint64_t submission);
  void AnswerSubmission(std::uint64_t submission, bool is_timeout);
  void CancelIncompleteGang(const Submission& submission);
  void CheckSubmissionsOf(const TaskId& task);

  // Queries.
  void QueryHome(const EntryId& home, std::uint64_t call);
  void RepeatForwarded(std::uint64_t call);
  void FindHome(const TaskId& task, std::uint64_t call);
  void AddWaiter(Waiter waiter, Time wait_until);
  void AnswerWaiters(const TaskId& task);
  void AnswerWaiter(const Waiter& waiter);
  void AnswerForwarded(std::uint64_t call, int status, const Error& error);
  void Cancel(HomeTask& task);

  // Placing.
  void DispatchQueue();
  bool DispatchNext(WorkClass work_class);
  void AskForHold(HomeTask& task);
  void OnHoldTimeout(const AttemptId& id);
  void DispatchGang(const TaskId& member);
  std::vector<HomeTask*> GangMembers(const GangId& gang);
  void CheckGang(const GangId& gang);
  void OnGangMemberEnded(const GangId& gang);
  void AbandonGangHolds(const GangId& gang);
  void StopGang(const HomeTask& lost);
  void Claim(HomeTask& task);
  void OnClaimed(const AttemptId& id, CommitOutcome outcome);
  void Requeue(HomeTask& task, const std::string& reason);
  void Enqueue(HomeTask& task);
  void CloseHold(const HomeTask& task);
  void ReleaseHoldOf(const HomeTask& task);

  // Outcomes.
  void Apply(HomeTask& task, const EntryId& from, const TaskResult& result);
  void ApplyFailure(HomeTask& task, const EntryId& from, const TaskResult& result);
  void Checkpoint(HomeTask& task, const EntryId& from, const TaskResult& result);
  void End(HomeTask& task, TaskEnd end, const EntryId& acknowledge_to);
  void CommitEnd(const AttemptId& id, const EntryId& acknowledge_to);
  void Acknowledge(const EntryId& to, const AttemptId& id);
  void Retain(const TaskId& task);
  void ProbeStarted();
  void Probe(HomeTask& task);
  void FindOwner(const AttemptId& id);

  // Adoption.
  void AdoptOrphan(const EntryId& home, std::int64_t row_version);
  void LoadJournal(const EntryId& home);
  void ApplyRecord(const JournalRecord& record);
  void ResumeAdopted(const std::set<TaskId>& tasks);

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
  std::map<std::string, TaskId> m_idempotent;  ///< row key of an idempotency key to the task of this home
  std::map<std::uint64_t, Submission> m_submissions;
  std::map<TaskId, std::set<std::uint64_t>> m_submissions_of;
  std::map<TaskId, std::vector<std::uint64_t>> m_joined;  ///< submissions that repeat one which is being accepted
  std::multimap<TaskId, Waiter> m_waiters;
  std::map<std::uint64_t, Forwarded> m_forwarded;
  std::map<std::uint64_t, std::function<void(bool)>> m_plan_submissions;
  std::set<TaskId> m_started;  ///< tasks in phase kStarted, for probes
  std::set<EntryId> m_adopted;
  std::deque<TaskId> m_retained;
  std::uint64_t m_next_task = 1;
  std::uint64_t m_next_gang = 1;
  std::uint64_t m_next_call = 1;
  std::size_t m_open_holds = 0;
  bool m_closed = false;    ///< accepts no tasks
  bool m_draining = false;  ///< asks for no holds
};

}  // namespace jaymast
