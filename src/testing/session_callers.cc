#include "testing/session_callers.h"

#include <boost/json.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "base/hash.h"
#include "model/codec.h"
#include "testing/session_intent.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;

/// One-way delay between a caller and an entry.
constexpr Duration kCallerLatency = milliseconds(3);
constexpr Duration kRetryDelay = milliseconds(500);
constexpr std::int64_t kDefaultPreviewMs = 1000;
constexpr std::int64_t kDefaultRunMs = 100;
constexpr int kServiceUnavailable = 503;

std::string BodyOf(const SessionCommand& command, std::int64_t index) {
  boost::json::object body;
  body["n"] = command.Option("body", command.Word(0)) + "/" + std::to_string(index);
  body["run_ms"] = command.Number("actual", command.Number("run", kDefaultRunMs));
  if (!command.Option("fail").empty()) body["fail"] = true;
  return boost::json::serialize(body);
}

std::optional<boost::json::object> ParseBody(const Response* response) {
  if (response == nullptr) return std::nullopt;
  const Result<boost::json::object> object = ParseObject(response->body, "response");
  if (!object) return std::nullopt;
  return *object;
}

std::string Text(const boost::json::object& object, const char* name) {
  const boost::json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::string IdOf(const boost::json::value& task) {
  if (task.is_string()) return std::string(task.get_string());
  return task.is_object() ? Text(task.get_object(), "id") : std::string();
}

}  // namespace

TaskSpec SessionCallers::MakeSpec(const SessionCommand& command, std::int64_t index) const {
  TaskSpec spec;
  const auto team = m_teams.find(KeyId(command.Option("key")));
  spec.team = TeamId(command.Option("team", team == m_teams.end() ? "" : team->second.value()));
  spec.kind = command.Option("kind", "check");
  spec.work_class = FromString<WorkClass>(command.Option("class", "batch")).value_or(WorkClass::kBatch);
  spec.semantics = FromString<Semantics>(command.Option("semantics", "idempotent")).value_or(Semantics::kIdempotent);
  spec.demand = Resources{command.Number("cpu", 1000), command.Number("memory", 1024),
                          command.Number("accelerators", 0), command.Number("slots", 1)};
  spec.declared_run_ms = command.Number("run", kDefaultRunMs);
  spec.idempotency_key = command.Option("idem");
  const bool is_one_of_many = command.Number("count", 1) > 1;
  if (is_one_of_many && !spec.idempotency_key.empty()) spec.idempotency_key += "/" + std::to_string(index);
  spec.domain = DomainId(command.Option("domain"));
  spec.gang = GangId(command.Option("gang"));
  if (!spec.gang.empty()) spec.gang_size = command.Number("count", 1);
  spec.body = BodyOf(command, index);
  return spec;
}

CallerRecord SessionCallers::MakeRecord(const SessionCommand& command) const {
  CallerRecord record;
  record.process = command.Option("to");
  record.key = KeyId(command.Option("key"));
  const auto team = m_teams.find(record.key);
  record.team = TeamId(command.Option("team", team == m_teams.end() ? "" : team->second.value()));
  record.sent = m_world.clock.Now();
  return record;
}

Time SessionCallers::Until(const SessionCommand& command, const char* option, std::int64_t fallback_ms) const {
  return m_world.clock.Now() + milliseconds(command.Number(option, fallback_ms));
}

void SessionCallers::Dispatch(const SessionCommand& command, CallerRecord record, const Request& request) {
  const RequestId id = ++m_last_request;
  record.request = id;
  m_commands[id] = command;
  m_requests[command.Word(0)] = id;
  m_world.facts.callers[id] = std::move(record);
  m_world.Note("caller " + command.text + " request=" + std::to_string(id));
  m_world.clock.After(kCallerLatency, [this, to = command.Option("to"), id, request] { m_send(to, id, request); });
}

void SessionCallers::Submit(const SessionCommand& command) {
  SubmitRequest request;
  request.secret = SecretOf(command.Option("key"));
  request.wait_until = Until(command, "wait", 0);
  CallerRecord record = MakeRecord(command);
  record.asks_for_work = true;
  for (std::int64_t index = 0; index < command.Number("count", 1); ++index) {
    request.specs.push_back(MakeSpec(command, index));
    record.bodies.push_back(request.specs.back().body);
    record.marks.push_back(Sha256Hex(record.bodies.back()));
  }
  Dispatch(command, std::move(record), request);
}

void SessionCallers::Preview(const SessionCommand& command) {
  PreviewRequest request;
  request.secret = SecretOf(command.Option("key"));
  request.spec = MakeSpec(command, 0);
  request.spec.work_class = WorkClass::kPreview;
  request.deadline = Until(command, "deadline", kDefaultPreviewMs);
  CallerRecord record = MakeRecord(command);
  record.asks_for_work = true;
  record.bodies.push_back(request.spec.body);
  record.marks.push_back(Sha256Hex(request.spec.body));
  Dispatch(command, std::move(record), request);
}

TaskId SessionCallers::TaskOf(const SessionCommand& command) const {
  const std::optional<boost::json::object> body = ParseBody(Find(command.Option("of")));
  if (!body) return {};
  const boost::json::value* tasks = body->if_contains("tasks");
  const auto index = static_cast<std::size_t>(command.Number("index", 0));
  if (tasks == nullptr || !tasks->is_array() || index >= tasks->get_array().size()) return TaskId(Text(*body, "id"));
  return TaskId(IdOf(tasks->get_array()[index]));
}

void SessionCallers::QueryStatus(const SessionCommand& command) {
  TaskStatusRequest request;
  request.secret = SecretOf(command.Option("key"));
  request.task = TaskOf(command);
  request.wait_until = Until(command, "wait", 0);
  CallerRecord record = MakeRecord(command);
  const auto of = m_requests.find(command.Option("of"));
  if (of != m_requests.end()) record.bodies = m_world.facts.callers[of->second].bodies;
  Dispatch(command, std::move(record), request);
}

void SessionCallers::Cancel(const SessionCommand& command) {
  CancelRequest request;
  request.secret = SecretOf(command.Option("key"));
  request.task = TaskOf(command);
  CallerRecord record = MakeRecord(command);
  const auto of = m_requests.find(command.Option("of"));
  if (of != m_requests.end()) record.bodies = m_world.facts.callers[of->second].bodies;
  Dispatch(command, std::move(record), request);
}

void SessionCallers::MakePlan(const SessionCommand& command) {
  const std::optional<Intent> intent = ParseSessionIntent(command);
  if (!intent) return m_world.Note("bad intent: " + command.text);
  if (const auto* give = std::get_if<GrantKeyIntent>(&*intent)) m_teams[give->key] = give->value.team;
  PlanRequest request;
  request.secret = SecretOf(command.Option("key"));
  request.intents.push_back(*intent);
  Dispatch(command, MakeRecord(command), request);
}

void SessionCallers::Confirm(const SessionCommand& command) {
  const std::optional<boost::json::object> plan = ParseBody(Find(command.Option("of")));
  ConfirmRequest request;
  request.secret = SecretOf(command.Option("key"));
  if (plan) request.plan = PlanId(Text(*plan, "id"));
  const boost::json::value* version = plan ? plan->if_contains("base_version") : nullptr;
  if (version != nullptr && version->is_int64()) request.base_version = version->get_int64();
  Dispatch(command, MakeRecord(command), request);
}

void SessionCallers::QueryView(const SessionCommand& command) {
  ViewRequest request;
  request.secret = SecretOf(command.Option("key"));
  request.view = FromString<View>(command.Option("view", "status")).value_or(View::kStatus);
  request.task = TaskOf(command);
  Dispatch(command, MakeRecord(command), request);
}

void SessionCallers::OnReply(RequestId id, const Response* response) {
  CallerRecord& record = m_world.facts.callers[id];
  const SessionCommand& command = m_commands[id];
  const std::string to_caller = "reply " + command.Word(0) + " request=" + std::to_string(id);
  if (response == nullptr) {
    record.closed = true;
    m_world.Note(to_caller + " connection closed");
    return RetryLater(command);
  }
  record.response = *response;
  std::string line = fmt::format("{} status={} verdict={}", to_caller, response->status, ToString(response->verdict));
  if (response->error) {
    line += fmt::format(" error={} path={} reason={}", ToString(response->error->id), response->error->path,
                        response->error->reason);
  }
  m_world.Note(line + " body=" + response->body);
  const bool not_run = response->verdict == Verdict::kNotRun;
  if (response->status == kServiceUnavailable && not_run) RetryLater(command);
}

void SessionCallers::RetryLater(const SessionCommand& command) {
  const std::string entries = command.Option("retry");
  if (entries.empty()) return;
  const std::size_t comma = entries.find(',');
  SessionCommand next = command;
  next.SetOption("body", command.Option("body", command.Word(0)));
  next.SetOption("to", entries.substr(0, comma));
  next.SetOption("retry", comma == std::string::npos ? "" : entries.substr(comma + 1));
  next.words[0] += "~";
  m_world.clock.After(kRetryDelay, [this, next] { Repeat(next); });
}

void SessionCallers::Repeat(const SessionCommand& command) {
  if (command.verb == "submit") Submit(command);
  if (command.verb == "preview") Preview(command);
}

const Response* SessionCallers::Find(const std::string& name) const {
  const Response* found = nullptr;
  for (std::string tried = name; m_requests.contains(tried); tried += "~") {
    const CallerRecord& record = m_world.facts.callers[m_requests.at(tried)];
    if (record.response) found = &*record.response;
  }
  return found;
}

}  // namespace jaymast
