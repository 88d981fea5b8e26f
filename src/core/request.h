#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/enum_names.h"
#include "base/error.h"
#include "base/id.h"
#include "base/time.h"
#include "base/verdict.h"
#include "model/intent.h"
#include "model/task_spec.h"

namespace jaymast {

/// Id of a request from a caller or operator, unique within one process.
using RequestId = std::uint64_t;

/// Runs an idempotent task and waits for its output.
struct PreviewRequest {
  std::string secret;  ///< API key of the caller, never logged
  TaskSpec spec;
  Time deadline;
};

/// Submits durable tasks. All members of a gang are submitted in one request.
struct SubmitRequest {
  std::string secret;
  std::vector<TaskSpec> specs;
  Time wait_until;  ///< respond when all tasks have ended, at this time at the latest
};

struct TaskStatusRequest {
  std::string secret;
  TaskId task;
  Time wait_until;
};

struct CancelRequest {
  std::string secret;
  TaskId task;
};

struct PlanRequest {
  std::string secret;
  std::vector<Intent> intents;
};

struct ConfirmRequest {
  std::string secret;
  PlanId plan;
  std::int64_t base_version = 0;
};

enum class View { kStatus, kTeams, kUpstreams, kTasks, kDomains, kEntries, kKeys, kExplain };

template <>
struct EnumNames<View> {
  static constexpr std::array<std::string_view, 8> kNames = {"status",  "teams",   "upstreams", "tasks",
                                                             "domains", "entries", "keys",      "explain"};
};

struct ViewRequest {
  std::string secret;
  View view = View::kStatus;
  TaskId task;  ///< for kExplain
};

using Request = std::variant<PreviewRequest, SubmitRequest, TaskStatusRequest, CancelRequest, PlanRequest,
                             ConfirmRequest, ViewRequest>;

/// The response to a caller or operator.
struct Response {
  int status = 0;  ///< HTTP status
  Verdict verdict = Verdict::kNotRun;
  std::optional<Error> error;  ///< sent as application/problem+json when set
  std::string body;            ///< JSON, or the raw output of a preview
  bool raw = false;            ///< whether the body is the raw output of a task
};

}  // namespace jaymast
