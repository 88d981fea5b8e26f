#include "tasks/task_manager.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <utility>

#include "base/http_status.h"
#include "configuration/config_store.h"
#include "membership/membership.h"
#include "model/codec.h"
#include "routing/router.h"
#include "tasks/idempotency.h"
#include "tasks/submission_gangs.h"
#include "tasks/task_response.h"

namespace jaymast {
namespace {

constexpr Duration kProbeSweepInterval = std::chrono::seconds(1);
constexpr Duration kProbeRetryInterval = std::chrono::seconds(3);

/// Timeout of accepting the tasks of a confirmed plan, after which they are submitted again.
constexpr Duration kPlanSubmitTimeout = std::chrono::seconds(2);

/// Minimum time that a caller waits for the acceptance to be committed.
constexpr Duration kAcceptTimeout = std::chrono::seconds(5);

}  // namespace

TaskManager::TaskManager(Context& context, TableClient& table, const ConfigStore& config, const Membership& membership,
                         Router& router, Hooks hooks)
    : m_context(context),
      m_table(table),
      m_config(config),
      m_membership(membership),
      m_router(router),
      m_hooks(std::move(hooks)),
      m_journal(context, table, membership) {}

void TaskManager::Start() {
  m_journal.Start();
  ProbeStarted();
}

TaskId TaskManager::NewTaskId() { return TaskId(fmt::format("{}-{}", m_context.self.value(), m_next_task++)); }

std::optional<Error> TaskManager::CheckAdmission(std::size_t count) const {
  if (m_is_closed) return Error{ErrorId::kNotServing, "", "this entry is shutting down"};
  if (!m_membership.IsLeaseValid()) {
    return Error{ErrorId::kStoreUnavailable, "", "durable work cannot be recorded while the store is unreachable"};
  }
  const auto limit = static_cast<std::size_t>(m_context.settings.max_queued_tasks);
  if (m_queue.size() + count > limit) return Error{ErrorId::kQueueFull, "", "too many tasks wait at this entry"};
  return std::nullopt;
}

void TaskManager::Submit(RequestId request, std::vector<TaskSpec> specs, Time wait_until) {
  if (const std::optional<Error> error = CheckAdmission(specs.size())) {
    return m_context.effects.Reply(request, ErrorResponse(*error, Verdict::kNotRun));
  }
  const std::uint64_t call = m_next_call++;
  Submission& submission = m_submissions[call];
  submission.request = request;
  submission.wait_until = wait_until;
  submission.accept_by = std::max(wait_until, m_context.Now() + kAcceptTimeout);
  submission.open_accepts = specs.size();
  for (TaskSpec& spec : specs) {
    spec.id = NewTaskId();
    submission.tasks.push_back(spec.id);
  }
  AssignGangs(specs, [this] { return GangId(fmt::format("{}-g{}", m_context.self.value(), m_next_gang++)); });
  m_context.timers.At(wait_until, [this, call] { FinishSubmission(call, true); });
  for (TaskSpec& spec : specs) Accept(std::move(spec), call);
}

void TaskManager::SubmitForPlan(const PlanId& plan, std::vector<TaskSpec> specs, std::function<void(bool)> done) {
  if (CheckAdmission(specs.size())) return done(false);
  std::int64_t index = 0;
  for (TaskSpec& spec : specs) spec.idempotency_key = fmt::format("plan/{}/{}", plan.value(), index++);
  m_plan_submissions[m_next_call] = std::move(done);
  Submit(0, std::move(specs), m_context.Now() + kPlanSubmitTimeout);
}

void TaskManager::Accept(TaskSpec spec, std::uint64_t submission) {
  const TaskId id = spec.id;
  std::optional<Write> insert;
  if (!spec.idempotency_key.empty()) {
    const std::string key = IdempotencyRowKey(spec);
    const boost::json::object value = {{"task", id.value()}, {"digest", RequestDigest(spec)}};
    insert = Write{key, boost::json::serialize(value)};
    m_task_by_idem_row.try_emplace(key, id);
  }
  HomeTask& task = m_tasks[id];
  task.spec = std::move(spec);
  task.accepted_at = m_context.Now();
  m_submissions_by_task[id].insert(submission);
  JournalRecord record;
  record.kind = JournalRecordKind::kAccepted;
  record.id.task = id;
  record.spec = task.spec;
  const bool is_repeated = insert && m_task_by_idem_row.at(insert->key) != id;
  if (is_repeated) return AttachToFirst(m_task_by_idem_row.at(insert->key), id, submission);
  m_journal.Append(std::move(record), std::move(insert),
                   [this, id, submission](CommitOutcome outcome) { OnAccepted(id, submission, outcome); });
}

void TaskManager::AttachToFirst(const TaskId& first, const TaskId& repeated, std::uint64_t submission) {
  const auto known = m_tasks.find(first);
  if (known == m_tasks.end()) return ResolveDuplicate(repeated, submission);
  Submission& open = m_submissions.at(submission);
  const bool is_same = RequestDigest(known->second.spec) == RequestDigest(m_tasks.at(repeated).spec);
  m_tasks.erase(repeated);
  m_submissions_by_task.erase(repeated);
  if (!is_same) {
    open.refused[repeated] =
        Error{ErrorId::kIdempotencyMismatch, "Idempotency-Key", "the key was used for another request"};
    return FinishAcceptance(submission);
  }
  std::replace(open.tasks.begin(), open.tasks.end(), repeated, first);
  m_submissions_by_task[first].insert(submission);
  if (known->second.phase == HomeTaskPhase::kAccepting) {
    m_attached_submissions[first].push_back(submission);
  } else {
    FinishAcceptance(submission);
  }
}

void TaskManager::CloseAttached(const TaskId& first, const std::optional<Error>& refused) {
  const auto found = m_attached_submissions.find(first);
  if (found == m_attached_submissions.end()) return;
  const std::vector<std::uint64_t> submissions = std::move(found->second);
  m_attached_submissions.erase(found);
  for (const std::uint64_t submission : submissions) {
    const auto open = m_submissions.find(submission);
    if (open != m_submissions.end() && refused) open->second.refused[first] = *refused;
    FinishAcceptance(submission);
  }
}

void TaskManager::OnAccepted(const TaskId& id, std::uint64_t submission, CommitOutcome outcome) {
  if (outcome == CommitOutcome::kConflict) {
    CloseAttached(id, Error{ErrorId::kStoreUnavailable, "Idempotency-Key", "another entry has this key; try again"});
    return ResolveDuplicate(id, submission);
  }
  const auto found = m_tasks.find(id);
  const auto open = m_submissions.find(submission);
  if (outcome == CommitOutcome::kUnavailable) {
    if (!found->second.spec.idempotency_key.empty()) m_task_by_idem_row.erase(IdempotencyRowKey(found->second.spec));
    m_tasks.erase(found);
    m_submissions_by_task.erase(id);
    const Error error{ErrorId::kStoreUnavailable, "", "the acceptance could not be recorded"};
    CloseAttached(id, error);
    if (open == m_submissions.end()) return;
    open->second.refused[id] = error;
    return FinishAcceptance(submission);
  }
  HomeTask& task = found->second;
  EmitTask(EventKind::kTaskAccepted, task, std::string(ToString(task.spec.semantics)));
  if (!task.spec.gang.empty()) m_gangs[task.spec.gang].insert(id);
  Enqueue(task);
  FinishAcceptance(submission);
  CloseAttached(id, std::nullopt);
}

void TaskManager::ResolveDuplicate(const TaskId& id, std::uint64_t submission) {
  const TaskSpec spec = m_tasks.at(id).spec;
  m_tasks.erase(id);
  m_submissions_by_task.erase(id);
  const std::string key = IdempotencyRowKey(spec);
  ReadRequest request;
  request.keys.push_back(key);
  m_table.Read(request, [this, id, key, submission, spec](const ReadReply& reply) {
    const auto open = m_submissions.find(submission);
    if (open == m_submissions.end()) return;
    if (reply.available && !reply.rows.empty()) {
      return OnDuplicate(submission, id, RequestDigest(spec), reply.rows.front());
    }
    // The first request with this key is still being committed, or the store is unavailable. This one wrote nothing.
    open->second.refused[id] = Error{ErrorId::kStoreUnavailable, "Idempotency-Key", "the key could not be checked"};
    FinishAcceptance(submission);
  });
}

void TaskManager::OnDuplicate(std::uint64_t submission, const TaskId& refused, const std::string& digest,
                              const Row& row) {
  Submission& open = m_submissions.at(submission);
  const Result<boost::json::object> value = ParseObject(row.value, "idem");
  const boost::json::value* task = value ? value->if_contains("task") : nullptr;
  const boost::json::value* known_digest = value ? value->if_contains("digest") : nullptr;
  const bool is_same = task != nullptr && task->is_string() && known_digest != nullptr && known_digest->is_string() &&
                       std::string_view(known_digest->get_string()) == digest;
  if (!is_same) {
    open.refused[refused] =
        Error{ErrorId::kIdempotencyMismatch, "Idempotency-Key", "the key was used for another request"};
    return FinishAcceptance(submission);
  }
  const TaskId first{std::string_view(task->get_string())};
  std::replace(open.tasks.begin(), open.tasks.end(), refused, first);
  if (m_tasks.contains(first)) {
    m_submissions_by_task[first].insert(submission);
    return FinishAcceptance(submission);
  }
  if (open.tasks.size() > 1 || open.request == 0) return FinishAcceptance(submission);
  // A single task accepted by another entry is queried at its home.
  const RequestId request = open.request;
  const Time wait_until = open.wait_until;
  m_submissions.erase(submission);
  const std::uint64_t call = m_next_call++;
  m_forwarded_queries[call] = ForwardedQuery{request, first, TeamId(), false, wait_until};
  ForwardQuery(first, call);
}

void TaskManager::FinishAcceptance(std::uint64_t submission) {
  const auto open = m_submissions.find(submission);
  if (open == m_submissions.end()) return;
  --open->second.open_accepts;
  CheckSubmission(submission);
}

void TaskManager::CheckSubmission(std::uint64_t submission) {
  const auto open = m_submissions.find(submission);
  if (open == m_submissions.end() || open->second.open_accepts > 0) return;
  if (!open->second.refused.empty()) CancelIncompleteGang(open->second);
  const auto plan = m_plan_submissions.find(submission);
  if (plan != m_plan_submissions.end()) {
    const bool is_complete = open->second.refused.empty();
    const std::function<void(bool)> done = std::move(plan->second);
    m_plan_submissions.erase(plan);
    m_submissions.erase(open);
    return done(is_complete);
  }
  const bool is_waiting = std::any_of(open->second.tasks.begin(), open->second.tasks.end(), [this](const TaskId& id) {
    const auto task = m_tasks.find(id);
    return task != m_tasks.end() && !task->second.HasOutcome();
  });
  if (!is_waiting || m_is_draining || m_context.Now() >= open->second.wait_until) FinishSubmission(submission, false);
}

void TaskManager::CancelIncompleteGang(const Submission& submission) {
  for (const TaskId& id : submission.tasks) {
    const auto task = m_tasks.find(id);
    if (task != m_tasks.end() && !task->second.spec.gang.empty()) Cancel(task->second);
  }
}

void TaskManager::CheckSubmissionsOf(const TaskId& task) {
  const auto found = m_submissions_by_task.find(task);
  if (found == m_submissions_by_task.end()) return;
  const std::set<std::uint64_t> submissions = found->second;
  for (const std::uint64_t submission : submissions) CheckSubmission(submission);
}

void TaskManager::FinishSubmission(std::uint64_t call, bool is_timeout) {
  const auto open = m_submissions.find(call);
  if (open == m_submissions.end()) return;
  if (open->second.open_accepts > 0) {
    if (!is_timeout || open->second.request == 0) return;
    if (m_context.Now() < open->second.accept_by) {
      // The wait for outcomes is over, but the response must state whether the tasks were accepted.
      return m_context.timers.At(open->second.accept_by, [this, call] { FinishSubmission(call, true); });
    }
    const RequestId request = open->second.request;
    m_submissions.erase(open);
    const Error error{ErrorId::kOutcomeUnknown, "", "the acceptance is not confirmed yet; repeat with the same key"};
    return m_context.effects.Reply(request, ErrorResponse(error, Verdict::kMayHaveRun));
  }
  const Submission submission = std::move(open->second);
  m_submissions.erase(open);
  for (const TaskId& id : submission.tasks) {
    const auto others = m_submissions_by_task.find(id);
    if (others != m_submissions_by_task.end() && others->second.erase(call) > 0 && others->second.empty()) {
      m_submissions_by_task.erase(others);
    }
  }
  if (submission.refused.size() == submission.tasks.size()) {
    return m_context.effects.Reply(submission.request,
                                   ErrorResponse(submission.refused.begin()->second, Verdict::kNotRun));
  }
  Response response;
  response.status = kStatusOk;
  response.verdict = Verdict::kRan;
  std::string items;
  for (const TaskId& id : submission.tasks) {
    const auto task = m_tasks.find(id);
    if (!items.empty()) items += ",";
    if (task == m_tasks.end()) {
      const auto refused = submission.refused.find(id);
      const Error error = refused == submission.refused.end() ? Error{} : refused->second;
      const boost::json::object item = {{"id", id.value()},
                                        {"state", refused == submission.refused.end() ? "accepted" : "refused"},
                                        {"verdict", ToString(Verdict::kNotRun)},
                                        {"error", ToString(error.id)},
                                        {"reason", error.reason}};
      items += boost::json::serialize(item);
      continue;
    }
    items += DescribeTask(task->second);
    if (!task->second.HasOutcome()) response.status = kStatusAccepted;
    response.verdict = std::min(response.verdict, VerdictOf(task->second));
  }
  response.body = fmt::format("{{\"tasks\":[{}]}}", items);
  m_context.effects.Reply(submission.request, response);
}

void TaskManager::Drain() {
  if (std::exchange(m_is_draining, true)) return;
  std::vector<TaskId> waited;
  for (const auto& [task, waiter] : m_waiters) waited.push_back(task);
  for (const TaskId& task : waited) NotifyWaiters(task);
  std::vector<std::uint64_t> open;
  for (const auto& [call, submission] : m_submissions) open.push_back(call);
  for (const std::uint64_t call : open) CheckSubmission(call);
}

bool TaskManager::IsQuiet() const {
  return m_journal.IsIdle() && m_open_hold_requests == 0 && m_submissions.empty() && m_forwarded_queries.empty();
}

HomeTask* TaskManager::Find(const AttemptId& id) {
  const auto found = m_tasks.find(id.task);
  if (found == m_tasks.end() || found->second.attempt != id.attempt) return nullptr;
  return &found->second;
}

void TaskManager::EmitTask(EventKind kind, const HomeTask& task, const std::string& detail) {
  Event event;
  event.kind = kind;
  event.task = task.spec.id;
  event.attempt = task.attempt;
  event.team = task.spec.team;
  event.upstream = task.upstream;
  event.epoch = task.epoch;
  event.detail = detail;
  if (kind == EventKind::kTaskEnded) event.verdict = std::string(ToString(task.end.verdict));
  m_context.effects.Emit(event);
}

void TaskManager::ProbeStarted() {
  const Time now = m_context.Now();
  for (const TaskId& id : m_started_tasks) {
    HomeTask& task = m_tasks.at(id);
    if (task.phase == HomeTaskPhase::kStarted && now >= task.next_probe) Probe(task);
  }
  m_context.After(kProbeSweepInterval, [this] { ProbeStarted(); });
}

void TaskManager::Probe(HomeTask& task) {
  task.next_probe = m_context.Now() + kProbeRetryInterval;
  const AttemptId id{task.spec.id, task.attempt};
  constexpr std::int64_t kUnansweredProbesBeforeLookup = 2;
  const bool is_owner_unresponsive = ++task.unanswered_probes > kUnansweredProbesBeforeLookup;
  const bool is_owner_known = m_membership.HasLeaseRecord(task.owner);
  if (is_owner_unresponsive || !is_owner_known) ProbeNewOwner(id);
  if (is_owner_known) m_hooks.send(task.owner, TaskProbe{id, task.upstream, task.epoch});
}

}  // namespace jaymast
