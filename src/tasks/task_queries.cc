// Task queries: of local callers, of peers, and forwarded to the home entry of a task.
#include <algorithm>
#include <chrono>
#include <utility>

#include "base/http_status.h"
#include "membership/membership.h"
#include "tasks/task_manager.h"
#include "tasks/task_response.h"

namespace jaymast {
namespace {

/// Forwarded queries are retried, because the home may crash or another entry may adopt the task.
constexpr Duration kForwardRetryInterval = std::chrono::seconds(1);

/// Time allowed for a forwarded query beyond the caller's waiting time.
constexpr Duration kForwardMargin = std::chrono::seconds(2);

/// Returns the entry that accepted a task: the part of its id before the last dash.
EntryId HomeOf(const TaskId& task) {
  const std::size_t dash = task.value().rfind('-');
  return EntryId(dash == std::string::npos ? std::string() : task.value().substr(0, dash));
}

}  // namespace

void TaskManager::Query(RequestId request, const TeamId& team, const TaskId& id, bool cancel, Time wait_until) {
  const auto found = m_tasks.find(id);
  if (found == m_tasks.end()) {
    const std::uint64_t call = m_next_call++;
    m_forwarded_queries[call] = ForwardedQuery{request, id, team, cancel, wait_until};
    return ForwardQuery(id, call);
  }
  HomeTask& task = found->second;
  if (!team.empty() && task.spec.team != team) {
    return m_context.effects.Reply(
        request, ErrorResponse(Error{ErrorId::kTaskUnknown, id.value(), "no such task"}, Verdict::kNotRun));
  }
  if (cancel) Cancel(task);
  AddWaiter(Waiter{request, EntryId(), 0, id}, wait_until);
}

void TaskManager::ForwardQuery(const TaskId& task, std::uint64_t call) {
  const EntryId home = HomeOf(task);
  if (m_membership.HasLeaseRecord(home) && home != m_context.self) return QueryHome(home, call);
  ReadRequest request;
  request.keys.push_back(AdoptKey(home));
  m_table.Read(request, [this, call](const ReadReply& reply) {
    if (!reply.available) {
      return FailForwarded(call, kStatusUnavailable,
                           Error{ErrorId::kStoreUnavailable, "",
                                 "the home entry of the task cannot be looked up while the store is unavailable"});
    }
    if (reply.rows.empty()) {
      return FailForwarded(call, kStatusNotFound, Error{ErrorId::kTaskUnknown, "", "no such task"});
    }
    const EntryId adopter(reply.rows.front().value);
    if (!m_membership.HasLeaseRecord(adopter)) return ScheduleForwardRetry(call);
    QueryHome(adopter, call);
  });
}

void TaskManager::QueryHome(const EntryId& home, std::uint64_t call) {
  const auto found = m_forwarded_queries.find(call);
  if (found == m_forwarded_queries.end()) return;
  const ForwardedQuery& query = found->second;
  if (home == m_context.self) {
    // The journal of an adopted home may still be loading.
    if (!m_tasks.contains(query.task)) return ScheduleForwardRetry(call);
    const ForwardedQuery local = query;
    m_forwarded_queries.erase(found);
    return Query(local.request, local.team, local.task, local.cancel, local.wait_until);
  }
  const Duration wait = std::max(query.wait_until - m_context.Now(), Duration{0});
  m_hooks.send(home, TaskQuery{call, query.task, query.team, query.cancel, ToMillis(wait)});
  ScheduleForwardRetry(call);
}

void TaskManager::ScheduleForwardRetry(std::uint64_t call) {
  m_context.After(kForwardRetryInterval, [this, call] {
    const auto found = m_forwarded_queries.find(call);
    if (found == m_forwarded_queries.end()) return;
    if (m_context.Now() < found->second.wait_until + kForwardMargin) return ForwardQuery(found->second.task, call);
    FailForwarded(call, kStatusUnavailable,
                  Error{ErrorId::kNotServing, "", "the home entry of the task did not reply in time"});
  });
}

void TaskManager::FailForwarded(std::uint64_t call, int status, const Error& error) {
  const auto found = m_forwarded_queries.find(call);
  if (found == m_forwarded_queries.end()) return;
  const RequestId request = found->second.request;
  m_forwarded_queries.erase(found);
  Response response;
  response.status = status;
  response.verdict = status == kStatusNotFound ? Verdict::kNotRun : Verdict::kMayHaveRun;
  response.error = error;
  m_context.effects.Reply(request, response);
}

void TaskManager::OnQuery(const EntryId& from, const TaskQuery& query) {
  const auto found = m_tasks.find(query.task);
  const bool is_visible = found != m_tasks.end() && (query.team.empty() || found->second.spec.team == query.team);
  if (!is_visible) {
    TaskQueryReply reply;
    reply.call = query.call;
    reply.status = kStatusNotFound;
    reply.error = ErrorId::kTaskUnknown;
    reply.body = "no such task";
    return m_hooks.send(from, reply);
  }
  if (query.cancel) Cancel(found->second);
  AddWaiter(Waiter{0, from, query.call, query.task}, m_context.Now() + std::chrono::milliseconds(query.wait_ms));
}

void TaskManager::OnQueryReply(const TaskQueryReply& reply) {
  if (reply.error != ErrorId::kNone) {
    return FailForwarded(reply.call, static_cast<int>(reply.status), Error{reply.error, "", reply.body});
  }
  const auto found = m_forwarded_queries.find(reply.call);
  if (found == m_forwarded_queries.end()) return;
  const RequestId request = found->second.request;
  m_forwarded_queries.erase(found);
  Response response;
  response.status = static_cast<int>(reply.status);
  response.verdict = reply.verdict;
  response.body = reply.body;
  m_context.effects.Reply(request, response);
}

void TaskManager::AddWaiter(Waiter waiter, Time wait_until) {
  const HomeTask& task = m_tasks.at(waiter.task);
  const bool is_due = task.HasOutcome() || m_is_draining || m_context.Now() >= wait_until;
  if (is_due) return NotifyWaiter(waiter);
  const auto range = m_waiters.equal_range(waiter.task);
  const bool is_repeated = std::any_of(range.first, range.second, [&waiter](const auto& known) {
    return known.second.peer == waiter.peer && known.second.call == waiter.call &&
           known.second.request == waiter.request;
  });
  if (is_repeated) return;
  const auto item = m_waiters.emplace(waiter.task, waiter);
  m_context.timers.At(wait_until, [this, waiter = item->second] {
    const auto range = m_waiters.equal_range(waiter.task);
    for (auto found = range.first; found != range.second; ++found) {
      const Waiter& other = found->second;
      const bool is_same = other.request == waiter.request && other.peer == waiter.peer && other.call == waiter.call;
      if (!is_same) continue;
      m_waiters.erase(found);
      return NotifyWaiter(waiter);
    }
  });
}

void TaskManager::NotifyWaiters(const TaskId& task) {
  const auto range = m_waiters.equal_range(task);
  std::vector<Waiter> waiters;
  for (auto found = range.first; found != range.second; ++found) waiters.push_back(found->second);
  m_waiters.erase(range.first, range.second);
  for (const Waiter& waiter : waiters) NotifyWaiter(waiter);
}

void TaskManager::NotifyWaiter(const Waiter& waiter) {
  const auto task = m_tasks.find(waiter.task);
  if (task == m_tasks.end()) return;
  const bool has_ended = task->second.HasOutcome();
  const int status = has_ended ? kStatusOk : kStatusAccepted;
  const Verdict verdict = VerdictOf(task->second);
  if (!waiter.peer.empty()) {
    TaskQueryReply reply;
    reply.call = waiter.call;
    reply.status = status;
    reply.verdict = verdict;
    reply.body = DescribeTask(task->second);
    return m_hooks.send(waiter.peer, reply);
  }
  Response response;
  response.status = status;
  response.verdict = verdict;
  response.body = DescribeTask(task->second);
  m_context.effects.Reply(waiter.request, response);
}

void TaskManager::OnRequestGone(RequestId request) {
  std::erase_if(m_waiters,
                [request](const auto& item) { return item.second.peer.empty() && item.second.request == request; });
  std::erase_if(m_forwarded_queries, [request](const auto& item) { return item.second.request == request; });
}

}  // namespace jaymast
