#include "cli/task_commands.h"

#include <fmt/format.h>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <ostream>

#include "cli/view_text.h"
#include "model/codec.h"

namespace jaymast {
namespace {

namespace json = boost::json;

/// Time for the answer to travel, in addition to the time the server may wait.
constexpr std::chrono::milliseconds kAnswerMargin = std::chrono::seconds(10);
constexpr int kFirstErrorStatus = 300;
constexpr std::size_t kPrefixDigits = 16;

ApiCall SubmitCall(const std::vector<TaskSpec>& specs, std::chrono::milliseconds wait) {
  json::array tasks;
  for (const TaskSpec& spec : specs) tasks.emplace_back(ToJson(spec));
  ApiCall call;
  call.method = "POST";
  call.target = "/v1/tasks";
  call.body = json::serialize(json::object{{"tasks", std::move(tasks)}, {"wait_ms", wait.count()}});
  call.timeout = wait + kAnswerMargin;
  return call;
}

ExitCode CodeForTask(const json::object& task) {
  const json::value* state = task.if_contains("state");
  if (state == nullptr) return ExitCode::kSuccess;
  const std::string text = CellText(*state);
  if (text == "refused") return ExitCode::kRefused;
  if (text == "unknown") return ExitCode::kOutcomeUnknown;
  return text == "failed" || text == "cancelled" ? ExitCode::kTaskFailed : ExitCode::kSuccess;
}

/// Exit code for an answer that is one task or has an array of tasks: that of the first task without success.
ExitCode CodeForTasks(const json::object& answer) {
  const json::value* tasks = answer.if_contains("tasks");
  if (tasks == nullptr || !tasks->is_array()) return CodeForTask(answer);
  for (const json::value& task : tasks->get_array()) {
    const ExitCode code = task.is_object() ? CodeForTask(task.get_object()) : ExitCode::kSuccess;
    if (code != ExitCode::kSuccess) return code;
  }
  return ExitCode::kSuccess;
}

ExitCode CallForTasks(CommandContext& context, const ApiCall& call) {
  json::object answer;
  ExitCode code = ExitCode::kSuccess;
  if (!CallForObject(context, call, answer, code)) return code;
  PrintObject(context, answer);
  return CodeForTasks(answer);
}

}  // namespace

void FillIdempotencyKeys(std::vector<TaskSpec>& specs, const std::string& prefix) {
  std::size_t number = 0;
  for (TaskSpec& spec : specs) {
    ++number;
    if (spec.idempotency_key.empty()) spec.idempotency_key = fmt::format("{}-{}", prefix, number);
  }
}

ExitCode RunSubmit(CommandContext& context, std::vector<TaskSpec> specs, const SubmitOptions& options) {
  std::string prefix = options.idempotency_key;
  if (prefix.empty()) prefix = context.random_hex().substr(0, kPrefixDigits);
  FillIdempotencyKeys(specs, prefix);
  const ExitCode code = CallForTasks(context, SubmitCall(specs, options.wait));
  if (code == ExitCode::kOutcomeUnknown) {
    context.err << fmt::format("to repeat this submission safely, add --idempotency-key {}\n", prefix);
  }
  return code;
}

ExitCode RunPreview(CommandContext& context, const TaskSpec& spec, std::chrono::milliseconds timeout) {
  ApiCall call;
  call.method = "POST";
  call.target = "/v1/previews";
  call.body = json::serialize(ToJson(spec));
  call.headers.emplace_back("Jaymast-Deadline-Ms", std::to_string(timeout.count()));
  call.timeout = timeout + kAnswerMargin;
  const Result<ApiReply> reply = context.api.Send(call);
  if (reply && reply->status < kFirstErrorStatus) {
    context.out << reply->body;
    return ExitCode::kSuccess;
  }
  return ReportReply(context, reply);
}

ExitCode RunTaskStatus(CommandContext& context, const std::string& task, std::chrono::milliseconds wait) {
  ApiCall call;
  call.method = "GET";
  call.target = fmt::format("/v1/tasks/{}?wait_ms={}", UrlSegment(task), wait.count());
  call.timeout = wait + kAnswerMargin;
  return CallForTasks(context, call);
}

ExitCode RunCancel(CommandContext& context, const std::string& task) {
  ApiCall call;
  call.method = "DELETE";
  call.target = "/v1/tasks/" + UrlSegment(task);
  json::object answer;
  ExitCode code = ExitCode::kSuccess;
  if (!CallForObject(context, call, answer, code)) return code;
  PrintObject(context, answer);
  return ExitCode::kSuccess;
}

}  // namespace jaymast
