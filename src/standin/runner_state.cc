#include "standin/runner_state.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <utility>

#include "base/field_reader.h"
#include "model/codec.h"
#include "standin/task_profile.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;

/// A runner with the fault `fail` ends its tasks so early that it attracts work by looking idle.
constexpr Duration kFailAfter = milliseconds(5);

/// Run time of a task that declares none.
constexpr std::int64_t kDefaultRunMs = 1;

/// A throttled task gets this part of its processors and needs longer by the inverse.
constexpr std::int64_t kThrottleDivisor = 2;

constexpr Duration kForgetInterval = std::chrono::seconds(1);

constexpr std::int64_t kMaxRunMs = 365LL * 24 * 3600 * 1000;

Time FromMillis(std::int64_t millis) { return Time(milliseconds(millis)); }

std::int64_t MillisOf(Time time) { return ToMillis(time.time_since_epoch()); }

Resources Scale(const Resources& demand, double factor) {
  Resources usage = demand;
  usage.cpu_millis = static_cast<std::int64_t>(static_cast<double>(demand.cpu_millis) * factor);
  usage.memory_mb = static_cast<std::int64_t>(static_cast<double>(demand.memory_mb) * factor);
  return usage;
}

std::int64_t ResumedMillis(const std::string& checkpoint) {
  if (checkpoint.empty()) return 0;
  const Result<boost::json::object> object = ParseObject(checkpoint, "checkpoint");
  if (!object) return 0;
  return FieldReader(*object, "checkpoint").Int("ran_ms", 0, 0, kMaxRunMs);
}

AttemptId AttemptOf(const RunTaskRequest& request) { return {request.spec.id, request.attempt}; }
AttemptId AttemptOf(const StartTaskRequest& request) { return {request.spec.id, request.attempt}; }
AttemptId AttemptOf(const StopTaskRequest& request) { return request.id; }

}  // namespace

RunnerState::RunnerState(RunnerSettings settings, EventCallback emit)
    : m_settings(std::move(settings)), m_emit(std::move(emit)) {}

UpstreamReply RunnerState::Handle(const UpstreamRequest& request, Time now) {
  Settle(now);
  return std::visit([this, now](const auto& one) { return HandleOne(one, now); }, request);
}

std::variant<UpstreamReply, RunnerState::RunToken> RunnerState::StartRun(const RunTaskRequest& request, Time now) {
  Settle(now);
  const AttemptId id = AttemptOf(request);
  const std::string_view not_owner = OwnerRefusal(request.token);
  if (!not_owner.empty()) return Refuse(id, request.token, not_owner, now);
  if (m_waiting_calls >= m_settings.connections) return Refuse(id, request.token, "connections in use", now);
  const auto known = m_known.find(id);
  if (known == m_known.end()) {
    const Time start_by = FromMillis(request.start_by_ms);
    if (now > start_by) return Refuse(id, request.token, "start deadline passed", now);
    const std::string_view reason = StartRefusal(id, request.spec);
    if (!reason.empty()) return Refuse(id, request.token, reason, now);
    Start(id, request.spec, request.home, start_by, now);
  } else if (!known->second.started) {
    return Refuse(id, request.token, "stopped before the start", now);
  } else if (known->second.ended) {
    UpstreamReply reply = Ok(now);
    reply.status = CallStatus::kUnknown;
    reply.reason = "the attempt has ended and its output was returned";
    return reply;
  }
  ++m_waiting_calls;
  m_running.at(id).waiting.push_back(++m_last_token);
  return m_last_token;
}

std::vector<RunnerState::RunCompletion> RunnerState::Advance(Time now) {
  Settle(now);
  if (m_faults.hang) return {};
  return std::exchange(m_completions, {});
}

std::optional<Time> RunnerState::NextDeadline() const {
  if (!m_completions.empty() && !m_faults.hang) return Time();
  std::optional<Time> next;
  for (const auto& [id, task] : m_running) {
    const std::optional<Time> deadline = TaskDeadline(task);
    if (deadline && (!next || *deadline < *next)) next = deadline;
  }
  return next;
}

UpstreamReply RunnerState::HandleOne(const FenceRequest& request, Time now) {
  const FencingToken& token = request.token;
  if (token.epoch < m_owner.epoch) return Refuse({}, token, "epoch is lower than the accepted one", now);
  if (token.epoch == m_owner.epoch && token.owner != m_owner.owner) {
    return Refuse({}, token, "epoch is held by another owner", now);
  }
  const bool changed = !IsOwner(token);
  const std::int64_t previous_epoch = m_owner.epoch;
  m_owner = token;
  if (changed) {
    Event event = MakeEvent(EventKind::kRunnerFenced, now);
    event.other = token.owner;
    m_emit(event);
  }
  UpstreamReply reply = Ok(now);
  reply.previous_epoch = previous_epoch;
  reply.tasks = Report(now);
  return reply;
}

UpstreamReply RunnerState::HandleOne(const RunTaskRequest& request, Time now) {
  return Refuse(AttemptOf(request), request.token, "a run call must wait for its output", now);
}

UpstreamReply RunnerState::HandleOne(const StartTaskRequest& request, Time now) {
  const AttemptId id = AttemptOf(request);
  const std::string_view not_owner = OwnerRefusal(request.token);
  if (!not_owner.empty()) return Refuse(id, request.token, not_owner, now);
  UpstreamReply reply = Ok(now);
  const auto known = m_known.find(id);
  if (known != m_known.end()) {
    if (!known->second.started) return Refuse(id, request.token, "stopped before the start", now);
    reply.result = known->second.state;
    return reply;
  }
  const Time lease_until = FromMillis(request.lease_until_ms);
  if (now >= lease_until) return Refuse(id, request.token, "lease has passed", now);
  const std::string_view reason = StartRefusal(id, request.spec);
  if (!reason.empty()) return Refuse(id, request.token, reason, now);
  RunningTask& task = Start(id, request.spec, request.home, lease_until, now);
  task.lease_until = lease_until;
  task.resumed_ms = ResumedMillis(request.checkpoint);
  if (!m_faults.fail) task.ends = EndOf(task.spec, task.resumed_ms, now);
  reply.result = RunnerTaskState::kRunning;
  return reply;
}

UpstreamReply RunnerState::HandleOne(const RenewRequest& request, Time now) {
  const std::string_view not_owner = OwnerRefusal(request.token);
  if (!not_owner.empty()) return Refuse({}, request.token, not_owner, now);
  for (const AttemptId& id : request.acknowledged) m_finished.erase(id);
  const Time lease_until = FromMillis(request.lease_until_ms);
  for (const AttemptId& id : request.tasks) {
    const auto task = m_running.find(id);
    if (task == m_running.end() || !task->second.lease_until) continue;
    task->second.lease_until = std::max(*task->second.lease_until, lease_until);
  }
  UpstreamReply reply = Ok(now);
  reply.tasks = Report(now);
  return reply;
}

UpstreamReply RunnerState::HandleOne(const StopTaskRequest& request, Time now) {
  const AttemptId id = AttemptOf(request);
  const std::string_view not_owner = OwnerRefusal(request.token);
  if (!not_owner.empty()) return Refuse(id, request.token, not_owner, now);
  const auto running = m_running.find(id);
  if (running == m_running.end()) {
    // Requests on different connections can overtake each other, so a stop must also prevent a start still on its way.
    if (request.mode != StopMode::kThrottle) {
      m_known.try_emplace(id, KnownAttempt{RunnerTaskState::kStopped, now, now, false});
    }
  } else if (request.mode == StopMode::kThrottle) {
    Throttle(running->second, now);
  } else if (request.mode == StopMode::kCheckpoint) {
    const std::int64_t ran_ms = running->second.resumed_ms + ToMillis(now - running->second.started);
    End(id, RunnerTaskState::kCheckpointed, fmt::format(R"({{"ran_ms":{}}})", ran_ms), now);
  } else {
    End(id, RunnerTaskState::kStopped, "", now);
  }
  UpstreamReply reply = Ok(now);
  const auto known = m_known.find(id);
  reply.result = known == m_known.end() ? RunnerTaskState::kStopped : known->second.state;
  return reply;
}

UpstreamReply RunnerState::Ok(Time now) const {
  UpstreamReply reply;
  reply.status = CallStatus::kOk;
  reply.current = m_owner;
  reply.now_ms = MillisOf(now);
  return reply;
}

UpstreamReply RunnerState::Refuse(const AttemptId& id, const FencingToken& token, std::string_view reason,
                                  Time now) const {
  Event event = MakeEvent(EventKind::kRunnerRefused, now);
  event.task = id.task;
  event.attempt = id.attempt;
  event.other = token.owner;
  event.epoch = token.epoch;
  event.detail = std::string(reason);
  m_emit(event);
  UpstreamReply reply = Ok(now);
  reply.status = CallStatus::kRefused;
  reply.reason = std::string(reason);
  return reply;
}

std::string_view RunnerState::OwnerRefusal(const FencingToken& token) const {
  if (IsOwner(token)) return "";
  if (token.epoch < m_owner.epoch) return "epoch is lower than the accepted one";
  if (token.epoch == m_owner.epoch) return "epoch is held by another owner";
  // A runner that restarted has lost its tasks. Only a fence tells the owner so before it starts anything.
  return "epoch was not fenced";
}

std::string_view RunnerState::StartRefusal(const AttemptId& id, const TaskSpec& spec) const {
  if (HasOtherAttempt(id)) return "another attempt is running or has run later";
  if (!spec.demand.FitsIn(m_settings.capacity - m_used)) return "capacity in use";
  if (static_cast<std::int64_t>(m_finished.size()) >= m_settings.max_finished) return "too many unread results";
  return "";
}

bool RunnerState::HasOtherAttempt(const AttemptId& id) const {
  for (auto known = m_known.lower_bound({id.task, INT64_MIN}); known != m_known.end(); ++known) {
    if (known->first.task != id.task) return false;
    if (known->first.attempt > id.attempt || m_running.contains(known->first)) return true;
  }
  return false;
}

RunnerState::RunningTask& RunnerState::Start(const AttemptId& id, const TaskSpec& spec, const EntryId& home,
                                             Time start_by, Time now) {
  RunningTask task;
  task.spec = spec;
  task.home = home;
  task.started = now;
  task.fails = m_faults.fail || ReadTaskProfile(spec.body).fail;
  task.ends = m_faults.fail ? now + kFailAfter : EndOf(spec, 0, now);
  task.usage_shown_at = now + m_faults.usage_lag;
  m_used += spec.demand;
  m_known[id] = KnownAttempt{RunnerTaskState::kRunning, start_by, std::nullopt, true};
  Event event = MakeEvent(EventKind::kRunnerStarted, now);
  event.task = id.task;
  event.attempt = id.attempt;
  event.team = spec.team;
  event.amount = m_used.slots;
  m_emit(event);
  return m_running[id] = std::move(task);
}

std::optional<Time> RunnerState::EndOf(const TaskSpec& spec, std::int64_t resumed_ms, Time now) const {
  const TaskProfile profile = ReadTaskProfile(spec.body);
  if (spec.work_class == WorkClass::kService && !profile.run_ms) return std::nullopt;
  const std::int64_t declared_ms = spec.declared_run_ms > 0 ? spec.declared_run_ms : kDefaultRunMs;
  const double factor = m_settings.run_time_factor * m_faults.slow;
  const double total_ms = static_cast<double>(profile.run_ms.value_or(declared_ms)) * factor;
  const double left_ms = std::clamp(total_ms - static_cast<double>(resumed_ms), 0.0, static_cast<double>(kMaxRunMs));
  return now + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(left_ms));
}

void RunnerState::Settle(Time now) {
  while (true) {
    const auto due = std::min_element(m_running.begin(), m_running.end(), [this](const auto& a, const auto& b) {
      return TaskDeadline(a.second).value_or(Time::max()) < TaskDeadline(b.second).value_or(Time::max());
    });
    if (due == m_running.end()) break;
    const std::optional<Time> deadline = TaskDeadline(due->second);
    if (!deadline || *deadline > now) break;
    Expire(AttemptId(due->first), std::max(*deadline, m_settled));
  }
  m_settled = now;
  ForgetOldAttempts(now);
}

std::optional<Time> RunnerState::TaskDeadline(const RunningTask& task) const {
  if (m_faults.hang || !task.ends) return task.lease_until;
  return task.lease_until ? std::min(*task.ends, *task.lease_until) : *task.ends;
}

void RunnerState::Expire(const AttemptId& id, Time at) {
  const RunningTask& task = m_running.at(id);
  const bool over = !m_faults.hang && task.ends && *task.ends <= task.lease_until.value_or(Time::max());
  if (!over) return End(id, RunnerTaskState::kExpired, "", at);
  if (task.fails) return End(id, RunnerTaskState::kFailed, "the task failed", at);
  End(id, RunnerTaskState::kSucceeded, TaskOutput(id.task, task.spec.body), at);
}

void RunnerState::End(const AttemptId& id, RunnerTaskState state, std::string output, Time at) {
  const auto running = m_running.find(id);
  RunnerTask result = Describe(id, running->second, at);
  result.state = state;
  result.output = std::move(output);
  for (const RunToken token : running->second.waiting) {
    UpstreamReply reply = Ok(at);
    reply.result = state;
    reply.output = result.output;
    m_completions.push_back({token, std::move(reply)});
  }
  m_waiting_calls -= static_cast<std::int64_t>(running->second.waiting.size());
  // The output of a run call is in its answer. It is not listed, because nobody would acknowledge it.
  if (running->second.lease_until) m_finished[id] = result;
  KnownAttempt& known = m_known[id];
  known.state = state;
  known.ended = at;
  Event event = MakeEvent(EventKind::kRunnerEnded, at);
  event.task = id.task;
  event.attempt = id.attempt;
  event.team = result.team;
  event.detail = std::string(ToString(state));
  m_used -= running->second.spec.demand;
  m_running.erase(running);
  m_emit(event);
}

void RunnerState::Throttle(RunningTask& task, Time now) const {
  if (task.throttled) return;
  task.throttled = true;
  task.usage_shown_at = now + m_faults.usage_lag;
  if (task.ends && *task.ends > now) task.ends = now + (*task.ends - now) * kThrottleDivisor;
}

void RunnerState::ForgetOldAttempts(Time now) {
  if (now < m_next_forget) return;
  m_next_forget = now + kForgetInterval;
  std::erase_if(m_known, [this, now](const auto& entry) {
    const KnownAttempt& known = entry.second;
    if (!known.ended || m_finished.contains(entry.first)) return false;
    return now > known.start_by && now > *known.ended + m_settings.known_retention;
  });
}

RunnerTask RunnerState::Describe(const AttemptId& id, const RunningTask& task, Time now) const {
  RunnerTask described;
  described.id = id;
  described.home = task.home;
  described.team = task.spec.team;
  described.kind = task.spec.kind;
  described.work_class = task.spec.work_class;
  described.semantics = task.spec.semantics;
  described.demand = task.spec.demand;
  described.run_ms = ToMillis(now - task.started);
  if (now >= task.usage_shown_at) described.usage = Scale(task.spec.demand, m_settings.usage_factor);
  if (task.throttled) described.usage.cpu_millis /= kThrottleDivisor;
  return described;
}

std::vector<RunnerTask> RunnerState::Report(Time now) const {
  std::vector<RunnerTask> tasks;
  for (const auto& [id, task] : m_running) tasks.push_back(Describe(id, task, now));
  for (const auto& [id, task] : m_finished) tasks.push_back(task);
  return tasks;
}

Event RunnerState::MakeEvent(EventKind kind, Time time) const {
  Event event;
  event.kind = kind;
  event.time = time;
  event.process = m_settings.name;
  event.upstream = m_settings.upstream;
  event.domain = m_settings.domain;
  event.epoch = m_owner.epoch;
  return event;
}

}  // namespace jaymast
