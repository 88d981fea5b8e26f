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

/// One attempt at a task. A late message of an earlier attempt cannot be taken for the current one.
struct AttemptId {
  TaskId task;
  std::int64_t attempt = 0;

  friend bool operator==(const AttemptId&, const AttemptId&) = default;
  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;  // NOLINT(modernize-use-nullptr): false alarm
};

/// Sender of a request to a runner. The epoch is the fencing token of the upstream's owner.
struct FencingToken {
  EntryId owner;
  std::int64_t epoch = 0;

  friend bool operator==(const FencingToken&, const FencingToken&) = default;
};

/// Makes the sender the owner if its epoch is higher than any that the runner accepted.
struct FenceRequest {
  FencingToken token;
};

/// Runs a task and waits for its output. Refused as not run after `start_by_ms` on the runner's clock.
struct RunTaskRequest {
  FencingToken token;
  TaskSpec spec;
  std::int64_t attempt = 0;
  EntryId home;
  std::int64_t start_by_ms = 0;
};

/// Starts a task under a lease that ends at `lease_until_ms` on the runner's clock.
struct StartTaskRequest {
  FencingToken token;
  TaskSpec spec;
  std::int64_t attempt = 0;
  EntryId home;
  std::string checkpoint;  ///< state to resume from, empty for a fresh start
  std::int64_t lease_until_ms = 0;
};

/// Renews the leases of tasks up to `lease_until_ms` on the runner's clock and drops acknowledged results.
struct RenewRequest {
  FencingToken token;
  std::int64_t lease_until_ms = 0;
  std::vector<AttemptId> tasks;
  std::vector<AttemptId> acknowledged;
};

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

enum class RunnerTaskState { kRunning, kSucceeded, kFailed, kStopped, kCheckpointed, kExpired };

template <>
struct EnumNames<RunnerTaskState> {
  static constexpr std::array<std::string_view, 6> kNames = {"running", "succeeded",    "failed",
                                                             "stopped", "checkpointed", "lapsed"};
};

/// A task as the runner reports it.
struct RunnerTask {
  AttemptId id;
  EntryId home;
  TeamId team;
  std::string kind;
  WorkClass work_class = WorkClass::kBatch;
  Semantics semantics = Semantics::kIdempotent;
  Resources demand;
  Resources usage;  ///< lagged
  std::int64_t run_ms = 0;
  RunnerTaskState state = RunnerTaskState::kRunning;
  std::string output;  ///< output when succeeded, reason when failed, state when checkpointed
};

enum class CallStatus {
  kOk,
  kRefused,  ///< the runner refused; it did not act on the request
  kNotSent,  ///< certainly not received
  kUnknown,  ///< may have been acted on
};

template <>
struct EnumNames<CallStatus> {
  static constexpr std::array<std::string_view, 4> kNames = {"ok", "refused", "not_sent", "unknown"};
};

/// Answer of a runner.
struct UpstreamReply {
  CallStatus status = CallStatus::kUnknown;
  std::string reason;                                    ///< why the runner refused
  FencingToken current;                                  ///< the owner that the runner accepts
  std::int64_t previous_epoch = 0;                       ///< highest epoch accepted before a fence; 0 after a restart
  std::int64_t now_ms = 0;                               ///< the runner's clock when it answered
  RunnerTaskState result = RunnerTaskState::kSucceeded;  ///< answer to RunTaskRequest
  std::string output;                                    ///< answer to RunTaskRequest
  std::vector<RunnerTask> tasks;                         ///< answer to FenceRequest and RenewRequest
};

}  // namespace jaymast
