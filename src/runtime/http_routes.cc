#include "runtime/http_routes.h"

#include <fmt/format.h>

#include <boost/beast/core/string.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/field_reader.h"
#include "model/codec.h"
#include "model/path.h"
#include "model/utf8.h"
#include "net/problem.h"

namespace jaymast {
namespace {

namespace json = boost::json;
using Segments = std::vector<std::string>;

constexpr std::int64_t kMaxWaitMs = 600'000;
constexpr std::size_t kMaxTasks = 10'000;
constexpr std::size_t kMaxIntents = 1'000;
constexpr std::size_t kMaxIdempotencyKeyBytes = 128;

std::optional<std::int64_t> ParseInt(std::string_view text, std::int64_t max) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < 0 || value > max) return std::nullopt;
  return value;
}

Error NumberError(std::string_view path, std::int64_t max) {
  return Error{ErrorId::kInputField, std::string(path), fmt::format("expected a whole number from 0 to {}", max)};
}

Error FieldError(std::string path, std::string reason) {
  return Error{ErrorId::kInputField, std::move(path), std::move(reason)};
}

/// HTTP request with the values that all routes use.
struct RequestContext {
  const HttpRequest& http;
  std::string secret;
  Time now;
  std::optional<Time> deadline;  ///< from the header Jaymast-Deadline-Ms
  Time preview_deadline;
};

Result<std::optional<Time>> ReadDeadline(const HttpRequest& http, Time now) {
  const std::string_view header = FindHeader(http.headers, "Jaymast-Deadline-Ms");
  if (header.empty()) return std::optional<Time>();
  const std::optional<std::int64_t> ms = ParseInt(header, kMaxWaitMs);
  if (!ms) return NumberError("Jaymast-Deadline-Ms", kMaxWaitMs);
  return std::optional<Time>(now + std::chrono::milliseconds(*ms));
}

Time WaitUntil(const RequestContext& context, std::int64_t wait_ms) {
  const Time wait_until = context.now + std::chrono::milliseconds(wait_ms);
  return context.deadline ? std::min(*context.deadline, wait_until) : wait_until;
}

/// Sets the header Idempotency-Key on the tasks without a key of their own. If there are several tasks, each key gets
/// the index of its task as a suffix.
std::optional<Error> ApplyIdempotencyKey(const HttpRequest& http, std::vector<TaskSpec>& specs) {
  const std::string key(FindHeader(http.headers, "Idempotency-Key"));
  if (key.empty()) return std::nullopt;
  if (key.size() > kMaxIdempotencyKeyBytes) {
    return FieldError("Idempotency-Key", fmt::format("longer than {} bytes", kMaxIdempotencyKeyBytes));
  }
  // The key is stored in the journal, which is JSON.
  if (!IsUtf8(key)) return FieldError("Idempotency-Key", "expected UTF-8");
  for (std::size_t i = 0; i < specs.size(); ++i) {
    std::string& own = specs[i].idempotency_key;
    if (own.empty()) own = specs.size() == 1 ? key : fmt::format("{}#{}", key, i);
    if (own.size() > kMaxIdempotencyKeyBytes) {
      return FieldError("Idempotency-Key",
                        fmt::format("longer than {} bytes with the suffix of task {}", kMaxIdempotencyKeyBytes, i));
    }
  }
  return std::nullopt;
}

Result<Request> ReadPreview(const RequestContext& context) {
  const Result<json::object> body = ParseObject(context.http.body, "body");
  if (!body) return body.error();
  json::object task = *body;
  // The route implies the class, so the field is optional.
  task.emplace("class", ToString(WorkClass::kPreview));
  Result<TaskSpec> spec = TaskSpecFromJson(task, "body");
  if (!spec) return spec.error();
  if (spec->work_class != WorkClass::kPreview) return FieldError("body/class", "expected preview");
  if (spec->semantics != Semantics::kIdempotent) return FieldError("body/semantics", "expected idempotent");
  return Request(PreviewRequest{context.secret, std::move(*spec), context.deadline.value_or(context.preview_deadline)});
}

Result<std::vector<TaskSpec>> ReadTaskList(const json::array& tasks) {
  if (tasks.empty() || tasks.size() > kMaxTasks) {
    return FieldError("body/tasks", fmt::format("expected 1 to {} tasks", kMaxTasks));
  }
  std::vector<TaskSpec> specs;
  for (const json::value& task : tasks) {
    const std::string path = fmt::format("body/tasks/{}", specs.size());
    if (!task.is_object()) return FieldError(path, "expected an object");
    Result<TaskSpec> spec = TaskSpecFromJson(task.get_object(), path);
    if (!spec) return spec.error();
    specs.push_back(std::move(*spec));
  }
  return specs;
}

Result<std::vector<TaskSpec>> ReadTasks(const json::object& body, std::int64_t& wait_ms) {
  if (body.if_contains("tasks") == nullptr) {
    json::object task = body;
    FieldReader reader(task, "body");
    wait_ms = reader.Int("wait_ms", 0, 0, kMaxWaitMs);
    if (reader.error()) return *reader.error();
    task.erase("wait_ms");
    Result<TaskSpec> spec = TaskSpecFromJson(task, "body");
    if (!spec) return spec.error();
    return std::vector<TaskSpec>{std::move(*spec)};
  }
  FieldReader reader(body, "body");
  wait_ms = reader.Int("wait_ms", 0, 0, kMaxWaitMs);
  const json::array* tasks = reader.Array("tasks");
  reader.RejectUnknown();
  if (reader.error()) return *reader.error();
  return ReadTaskList(*tasks);
}

Result<Request> ReadSubmit(const RequestContext& context) {
  const Result<json::object> body = ParseObject(context.http.body, "body");
  if (!body) return body.error();
  std::int64_t wait_ms = 0;
  Result<std::vector<TaskSpec>> specs = ReadTasks(*body, wait_ms);
  if (!specs) return specs.error();
  if (const auto error = ApplyIdempotencyKey(context.http, *specs)) return *error;
  return Request(SubmitRequest{context.secret, std::move(*specs), WaitUntil(context, wait_ms)});
}

Result<Request> ReadTaskStatus(const RequestContext& context, const std::string& task) {
  const Result<std::int64_t> wait_ms = QueryInt(context.http.target, "wait_ms", 0, kMaxWaitMs);
  if (!wait_ms) return wait_ms.error();
  return Request(TaskStatusRequest{context.secret, TaskId(task), WaitUntil(context, *wait_ms)});
}

Result<Request> ReadPlan(const RequestContext& context) {
  const Result<json::object> body = ParseObject(context.http.body, "body");
  if (!body) return body.error();
  FieldReader reader(*body, "body");
  const json::array* array = reader.Array("intents");
  if (array == nullptr || array->empty() || array->size() > kMaxIntents) {
    reader.Fail("intents", fmt::format("expected an array of 1 to {} intents", kMaxIntents));
  }
  reader.RejectUnknown();
  if (reader.error()) return *reader.error();
  PlanRequest request{context.secret, {}};
  for (const json::value& value : *array) {
    const std::string path = fmt::format("body/intents/{}", request.intents.size());
    if (!value.is_object()) return FieldError(path, "expected an object");
    Result<Intent> intent = IntentFromJson(value.get_object(), path);
    if (!intent) return intent.error();
    request.intents.push_back(std::move(*intent));
  }
  return Request(std::move(request));
}

Result<Request> ReadConfirm(const RequestContext& context, const std::string& plan) {
  const Result<json::object> body = ParseObject(context.http.body, "body");
  if (!body) return body.error();
  FieldReader reader(*body, "body");
  constexpr std::int64_t kAbsent = -1;
  const std::int64_t version = reader.Int("base_version", kAbsent, 0, INT64_MAX);
  if (version == kAbsent) reader.Fail("base_version", "required whole number");
  reader.RejectUnknown();
  if (reader.error()) return *reader.error();
  return Request(ConfirmRequest{context.secret, PlanId(plan), version});
}

/// Request for a view, or nothing if the path does not name a view.
std::optional<Request> ReadView(const RequestContext& context, const Segments& path) {
  const std::optional<View> view = FromString<View>(path.at(1));
  if (!view) return std::nullopt;
  const bool is_explain = *view == View::kExplain;
  if (path.size() != (is_explain ? 3U : 2U)) return std::nullopt;
  return Request(ViewRequest{context.secret, *view, is_explain ? TaskId(path.at(2)) : TaskId()});
}

Result<Request> Route(const RequestContext& context, const Segments& path) {
  const std::string& method = context.http.method;
  const Error unknown{ErrorId::kRouteUnknown, method + " " + context.http.target, "unknown route"};
  if (path.size() < 2 || path.size() > 4 || path[0] != "v1") return unknown;
  const std::string& name = path[1];
  const bool is_collection = path.size() == 2;
  if (method == "POST" && is_collection && name == "previews") return ReadPreview(context);
  if (method == "POST" && is_collection && name == "tasks") return ReadSubmit(context);
  if (method == "POST" && is_collection && name == "plans") return ReadPlan(context);
  const bool is_confirm = path.size() == 4 && name == "plans" && path[3] == "confirm";
  if (method == "POST" && is_confirm) return ReadConfirm(context, path[2]);
  if (method == "DELETE" && path.size() == 3 && name == "tasks") {
    return Request(CancelRequest{context.secret, TaskId(path[2])});
  }
  if (method != "GET") return unknown;
  if (path.size() == 3 && name == "tasks") return ReadTaskStatus(context, path[2]);
  std::optional<Request> view = ReadView(context, path);
  if (!view) return unknown;
  return std::move(*view);
}

}  // namespace

std::string BearerSecret(const HttpRequest& http) {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view header = FindHeader(http.headers, "Authorization");
  if (!boost::beast::iequals(header.substr(0, kScheme.size()), kScheme)) return {};
  return std::string(header.substr(kScheme.size()));
}

Result<std::int64_t> QueryInt(std::string_view target, std::string_view name, std::int64_t fallback, std::int64_t max) {
  const std::size_t question = target.find('?');
  if (question == std::string_view::npos) return fallback;
  std::string_view query = target.substr(question + 1);
  while (!query.empty()) {
    const std::string_view field = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), field.size() + 1));
    const std::size_t equals = field.find('=');
    if (field.substr(0, equals) != name) continue;
    const auto value = equals == std::string_view::npos ? std::nullopt : ParseInt(field.substr(equals + 1), max);
    if (!value) return NumberError(name, max);
    return *value;
  }
  return fallback;
}

Result<Request> RequestFromHttp(const HttpRequest& http, Time now, std::chrono::milliseconds preview_deadline) {
  const Result<std::optional<Time>> deadline = ReadDeadline(http, now);
  if (!deadline) return deadline.error();
  const Result<Segments> path = SplitPath(http.target);
  if (!path) return path.error();
  return Route(RequestContext{http, BearerSecret(http), now, *deadline, now + preview_deadline}, *path);
}

int HttpStatusOf(const Error& error) {
  constexpr int kBadRequest = 400;
  constexpr int kNotFound = 404;
  constexpr int kTooLarge = 413;
  if (error.id == ErrorId::kRouteUnknown) return kNotFound;
  if (error.id == ErrorId::kInputTooLarge) return kTooLarge;
  return kBadRequest;
}

HttpResponse ResponseToHttp(Response response) {
  // The response to a plan conflict has the new plan as its body instead of a problem document.
  const bool has_body = !response.body.empty() && !response.raw;
  if (response.error && !has_body) return ProblemResponse(response.status, *response.error, response.verdict);
  HttpResponse http;
  http.status = response.status;
  http.headers.emplace_back("Content-Type", response.raw ? "application/octet-stream" : "application/json");
  http.headers.emplace_back("Jaymast-Verdict", ToString(response.verdict));
  http.body = std::move(response.body);
  return http;
}

}  // namespace jaymast
