#include "model/runner_codec.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <cstddef>
#include <cstdint>
#include <type_traits>
#include <utility>
#include <vector>

#include "base/bounds.h"
#include "base/field_reader.h"
#include "base/http_status.h"
#include "model/codec.h"
#include "model/path.h"
#include "model/read_items.h"

namespace jaymast {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxReasonBytes = 4096;
constexpr std::size_t kMaxCheckpointBytes = 1U << 20U;
constexpr std::size_t kMaxOutputBytes = 4U << 20U;

/// Largest time in a message: 100 years in milliseconds. It can be converted to microseconds without overflow.
constexpr std::int64_t kMaxTimeMs = 100LL * 365 * 24 * 3600 * 1000;

void WriteToken(json::object& object, const FencingToken& token) {
  object["owner"] = token.owner.value();
  object["epoch"] = token.epoch;
}

FencingToken ReadToken(FieldReader& reader) {
  FencingToken token;
  token.owner = EntryId(reader.RequiredString("owner", kMaxNameBytes));
  token.epoch = reader.Int("epoch", 0, 0, kMaxCounter);
  return token;
}

json::array AttemptsToJson(const std::vector<AttemptId>& ids) {
  json::array array;
  for (const AttemptId& id : ids) array.push_back(json::object{{"task", id.task.value()}, {"attempt", id.attempt}});
  return array;
}

AttemptId ReadAttempt(FieldReader& reader) {
  const TaskId task(reader.RequiredString("task", kMaxNameBytes));
  return {task, reader.Int("attempt", 0, 0, kMaxCounter)};
}

std::vector<AttemptId> ReadAttempts(FieldReader& reader, const char* name) {
  return ReadItems<AttemptId>(reader, name,
                              [](FieldReader& fields, const std::string&) { return ReadAttempt(fields); });
}

Resources ReadResources(FieldReader& reader, const char* name, const std::string& path) {
  const json::object* object = reader.Object(name);
  if (object == nullptr) return {};
  const Result<Resources> resources = ResourcesFromJson(*object, path + "/" + name);
  if (resources) return *resources;
  reader.Fail(name, resources.error().path + ": " + resources.error().reason);
  return {};
}

TaskSpec ReadSpec(FieldReader& reader, const TaskId& task) {
  const json::object* object = reader.Object("spec");
  if (object == nullptr) {
    reader.Fail("spec", "required object");
    return {};
  }
  Result<TaskSpec> spec = TaskSpecFromJson(*object, "/spec");
  if (!spec) {
    reader.Fail("spec", spec.error().path + ": " + spec.error().reason);
    return {};
  }
  if (spec->id != task) reader.Fail("spec", "/spec/id: differs from the task in the path");
  return std::move(*spec);
}

std::string TaskTarget(const TaskId& task, std::string_view action) {
  return fmt::format("/v1/tasks/{}/{}", EncodeSegment(task.value()), action);
}

HttpCall Post(std::string target, const json::object& body) {
  return {"POST", std::move(target), json::serialize(body)};
}

struct RequestEncoder {
  HttpCall operator()(const FenceRequest& request) const {
    json::object body;
    WriteToken(body, request.token);
    return Post("/v1/fence", body);
  }
  HttpCall operator()(const RunTaskRequest& request) const {
    json::object body = {{"spec", ToJson(request.spec)},
                         {"attempt", request.attempt},
                         {"home", request.home.value()},
                         {"start_by_ms", request.start_by_ms}};
    WriteToken(body, request.token);
    return Post(TaskTarget(request.spec.id, "run"), body);
  }
  HttpCall operator()(const StartTaskRequest& request) const {
    json::object body = {{"spec", ToJson(request.spec)},
                         {"attempt", request.attempt},
                         {"home", request.home.value()},
                         {"checkpoint", request.checkpoint},
                         {"lease_until_ms", request.lease_until_ms}};
    WriteToken(body, request.token);
    return Post(TaskTarget(request.spec.id, "start"), body);
  }
  HttpCall operator()(const RenewRequest& request) const {
    json::object body = {{"lease_until_ms", request.lease_until_ms},
                         {"tasks", AttemptsToJson(request.tasks)},
                         {"acknowledged", AttemptsToJson(request.acknowledged)}};
    WriteToken(body, request.token);
    return Post("/v1/renew", body);
  }
  HttpCall operator()(const StopTaskRequest& request) const {
    json::object body = {{"attempt", request.id.attempt}};
    WriteToken(body, request.token);
    return Post(TaskTarget(request.id.task, ToString(request.mode)), body);
  }
};

Result<UpstreamRequest> ReadFence(FieldReader& reader) {
  return FinishReading<UpstreamRequest>(reader, FenceRequest{ReadToken(reader)});
}

Result<UpstreamRequest> ReadRenew(FieldReader& reader) {
  RenewRequest request;
  request.token = ReadToken(reader);
  request.lease_until_ms = reader.Int("lease_until_ms", 0, 0, kMaxTimeMs);
  request.tasks = ReadAttempts(reader, "tasks");
  request.acknowledged = ReadAttempts(reader, "acknowledged");
  return FinishReading<UpstreamRequest>(reader, std::move(request));
}

Result<UpstreamRequest> ReadRun(FieldReader& reader, const TaskId& task) {
  RunTaskRequest request;
  request.token = ReadToken(reader);
  request.spec = ReadSpec(reader, task);
  request.attempt = reader.Int("attempt", 0, 0, kMaxCounter);
  request.home = EntryId(reader.String("home", "", kMaxNameBytes));
  request.start_by_ms = reader.Int("start_by_ms", 0, 0, kMaxTimeMs);
  return FinishReading<UpstreamRequest>(reader, std::move(request));
}

Result<UpstreamRequest> ReadStart(FieldReader& reader, const TaskId& task) {
  StartTaskRequest request;
  request.token = ReadToken(reader);
  request.spec = ReadSpec(reader, task);
  request.attempt = reader.Int("attempt", 0, 0, kMaxCounter);
  request.home = EntryId(reader.String("home", "", kMaxNameBytes));
  request.checkpoint = reader.String("checkpoint", "", kMaxCheckpointBytes);
  request.lease_until_ms = reader.Int("lease_until_ms", 0, 0, kMaxTimeMs);
  return FinishReading<UpstreamRequest>(reader, std::move(request));
}

Result<UpstreamRequest> ReadStop(FieldReader& reader, const TaskId& task, StopMode mode) {
  StopTaskRequest request;
  request.token = ReadToken(reader);
  request.id = {task, reader.Int("attempt", 0, 0, kMaxCounter)};
  request.mode = mode;
  return FinishReading<UpstreamRequest>(reader, std::move(request));
}

Error UnknownRoute(const HttpCall& call) {
  return Error{ErrorId::kRouteUnknown, call.target, "unknown route of a runner"};
}

json::object TaskToJson(const RunnerTask& task) {
  return {{"task", task.id.task.value()},
          {"attempt", task.id.attempt},
          {"home", task.home.value()},
          {"team", task.team.value()},
          {"kind", task.kind},
          {"class", ToString(task.work_class)},
          {"semantics", ToString(task.semantics)},
          {"demand", ToJson(task.demand)},
          {"usage", ToJson(task.usage)},
          {"run_ms", task.run_ms},
          {"state", ToString(task.state)},
          {"output", task.output}};
}

RunnerTask ReadTask(FieldReader& reader, const std::string& path) {
  RunnerTask task;
  task.id = ReadAttempt(reader);
  task.home = EntryId(reader.String("home", "", kMaxNameBytes));
  task.team = TeamId(reader.String("team", "", kMaxNameBytes));
  task.kind = reader.String("kind", "", kMaxNameBytes);
  task.work_class = reader.Enum("class", WorkClass::kBatch);
  task.semantics = reader.Enum("semantics", Semantics::kIdempotent);
  task.demand = ReadResources(reader, "demand", path);
  task.usage = ReadResources(reader, "usage", path);
  task.run_ms = reader.Int("run_ms", 0, 0, kMaxTimeMs);
  task.state = reader.Enum("state", RunnerTaskState::kRunning);
  task.output = reader.String("output", "", kMaxOutputBytes);
  return task;
}

}  // namespace

HttpCall EncodeUpstreamRequest(const UpstreamRequest& request) { return std::visit(RequestEncoder{}, request); }

Result<UpstreamRequest> DecodeUpstreamRequest(const HttpCall& call) {
  const Result<std::vector<std::string>> path = SplitPath(call.target);
  if (!path) return path.error();
  const bool for_task = path->size() == 4 && path->at(0) == "v1" && path->at(1) == "tasks";
  const bool for_runner = path->size() == 2 && path->at(0) == "v1";
  if (call.method != "POST" || (!for_task && !for_runner)) return UnknownRoute(call);
  const Result<json::object> body = ParseObject(call.body, "");
  if (!body) return body.error();
  FieldReader reader(*body, "");
  const std::string& action = path->back();
  if (for_runner && action == "fence") return ReadFence(reader);
  if (for_runner && action == "renew") return ReadRenew(reader);
  if (for_runner) return UnknownRoute(call);
  const TaskId task(path->at(2));
  if (action == "run") return ReadRun(reader, task);
  if (action == "start") return ReadStart(reader, task);
  const std::optional<StopMode> mode = FromString<StopMode>(action);
  if (!mode) return UnknownRoute(call);
  return ReadStop(reader, task, *mode);
}

int HttpStatusOf(const UpstreamReply& reply) {
  return reply.status == CallStatus::kRefused ? kStatusConflict : kStatusOk;
}

std::string EncodeUpstreamReply(const UpstreamReply& reply) {
  json::array tasks;
  for (const RunnerTask& task : reply.tasks) tasks.push_back(TaskToJson(task));
  json::object body = {{"status", ToString(reply.status)},
                       {"now_ms", reply.now_ms},
                       {"result", ToString(reply.result)},
                       {"output", reply.output},
                       {"tasks", std::move(tasks)}};
  if (!reply.reason.empty()) body["reason"] = reply.reason;
  WriteToken(body, reply.current);
  body["previous_epoch"] = reply.previous_epoch;
  return json::serialize(body);
}

Result<UpstreamReply> DecodeUpstreamReply(std::string_view body) {
  const Result<json::object> object = ParseObject(body, "");
  if (!object) return object.error();
  FieldReader reader(*object, "");
  UpstreamReply reply;
  reply.status = reader.Enum("status", CallStatus::kUnknown);
  reply.reason = reader.String("reason", "", kMaxReasonBytes);
  reply.current.owner = EntryId(reader.String("owner", "", kMaxNameBytes));
  reply.current.epoch = reader.Int("epoch", 0, 0, kMaxCounter);
  reply.previous_epoch = reader.Int("previous_epoch", 0, 0, kMaxCounter);
  reply.now_ms = reader.Int("now_ms", 0, 0, kMaxTimeMs);
  reply.result = reader.Enum("result", RunnerTaskState::kSucceeded);
  reply.output = reader.String("output", "", kMaxOutputBytes);
  reply.tasks = ReadItems<RunnerTask>(reader, "tasks", ReadTask);
  return FinishReading(reader, std::move(reply));
}

}  // namespace jaymast
