#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/enum_names.h"
#include "base/error.h"
#include "base/id.h"
#include "base/resources.h"
#include "model/task_spec.h"

namespace jaymast {

/// Identifies one attempt at a task, so that late messages of an earlier attempt are told apart.
struct AttemptId {
  TaskId task;
  std::int64_t attempt = 0;

  friend bool operator==(const AttemptId&, const AttemptId&) = default;
  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;  // NOLINT(modernize-use-nullptr): false alarm
};

/// Owner of an upstream and the epoch of its ownership. Runners reject requests with a token of an earlier owner.
struct FencingToken {
  EntryId owner;
  std::int64_t epoch = 0;

  friend bool operator==(const FencingToken&, const FencingToken&) = default;
};

/// Makes the sender the owner if its epoch is higher than any the runner has accepted.
struct FenceRequest {
  FencingToken token;
};

/// Runs a task and waits for its output. `home` is the entry that accepted the task. Refused, without running the task,
/// after `start_by_ms` on the runner's clock.
struct RunTaskRequest {
  FencingToken token;
  TaskSpec spec;
  std::int64_t attempt = 0;
  EntryId home;
  std::int64_t start_by_ms = 0;
};

/// Starts a task under a lease that ends at `lease_until_ms` on the runner's clock. `home` is the entry that accepted
/// or adopted the task.
struct StartTaskRequest {
  FencingToken token;
  TaskSpec spec;
  std::int64_t attempt = 0;
  EntryId home;
  std::string checkpoint;  ///< state to resume from, empty for a fresh start
  std::int64_t lease_until_ms = 0;
};

/// Extends the leases of `tasks` to `lease_until_ms` on the runner's clock and drops the `acknowledged` results.
struct RenewRequest {
  FencingToken token;
  std::int64_t lease_until_ms = 0;
  std::vector<AttemptId> tasks;
  std::vector<AttemptId> acknowledged;
};

/// What a stop request does to a task. kThrottle lets it run on with fewer resources.
enum class StopMode { kStop, kCheckpoint, kThrottle };

template <>
struct EnumNames<StopMode> {
  static constexpr std::array<std::string_view, 3> kNames = {"stop", "checkpoint", "throttle"};
};

struct StopTaskRequest {
  FencingToken token;
  AttemptId id;
  StopMode mode = StopMode::kStop;
};

using UpstreamRequest = std::variant<FenceRequest, RunTaskRequest, StartTaskRequest, RenewRequest, StopTaskRequest>;

/// State of a task at the runner. kExpired (its lease ended) is written as "lapsed".
enum class RunnerTaskState { kRunning, kSucceeded, kFailed, kStopped, kCheckpointed, kExpired };

template <>
struct EnumNames<RunnerTaskState> {
  static constexpr std::array<std::string_view, 6> kNames = {"running", "succeeded",    "failed",
                                                             "stopped", "checkpointed", "lapsed"};
};

/// State of a task as reported by the runner.
struct RunnerTask {
  AttemptId id;
  EntryId home;
  TeamId team;
  std::string kind;
  WorkClass work_class = WorkClass::kBatch;
  Semantics semantics = Semantics::kIdempotent;
  Resources demand;
  Resources usage;  ///< reported with a delay
  std::int64_t run_ms = 0;
  RunnerTaskState state = RunnerTaskState::kRunning;
  std::string output;  ///< output when succeeded, reason when failed, state when checkpointed
};

enum class CallStatus {
  kOk,
  kRefused,  ///< refused by the runner, with no effect
  kNotSent,  ///< not received by the runner
  kUnknown,  ///< may have taken effect
};

template <>
struct EnumNames<CallStatus> {
  static constexpr std::array<std::string_view, 4> kNames = {"ok", "refused", "not_sent", "unknown"};
};

/// Reply of a runner.
struct UpstreamReply {
  CallStatus status = CallStatus::kUnknown;
  std::string reason;                                    ///< why the runner refused
  FencingToken current;                                  ///< token of the owner that the runner accepts
  std::int64_t previous_epoch = 0;                       ///< highest epoch accepted before a fence; 0 after a restart
  std::int64_t now_ms = 0;                               ///< the runner's clock at the reply
  RunnerTaskState result = RunnerTaskState::kSucceeded;  ///< for RunTaskRequest
  std::string output;                                    ///< for RunTaskRequest
  std::vector<RunnerTask> tasks;                         ///< for FenceRequest and RenewRequest
};

}  // namespace jaymast
