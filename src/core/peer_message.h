#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/enum_names.h"
#include "base/error.h"
#include "base/id.h"
#include "base/resources.h"
#include "base/verdict.h"
#include "core/upstream_protocol.h"
#include "model/task_spec.h"

namespace jaymast {

/// Heartbeat with the free capacity of the sender's upstreams.
struct Summary {
  DomainId domain;
  bool serving = false;
  Resources free;
  Resources largest_free;  ///< free capacity of the sender's least loaded upstream
  std::int64_t config_version = 0;
  std::int64_t handovers = 0;  ///< upstreams that the sender has handed over; a change tells peers to read the owners
};

/// Asks an owner to place and run a task that needs no claim.
struct RunRequest {
  std::uint64_t call = 0;
  TaskSpec spec;
  std::int64_t attempt = 0;
  std::int64_t remaining_ms = 0;    ///< time left until the caller's deadline
  std::int64_t config_version = 0;  ///< version under which the caller's key was checked
};

struct RunReply {
  std::uint64_t call = 0;
  AttemptId id;
  Verdict verdict = Verdict::kNotRun;
  ErrorId error = ErrorId::kNone;
  std::string reason;
  std::string output;
};

/// Asks an owner to reserve capacity for an attempt. The body of the specification is not sent.
struct HoldRequest {
  TaskSpec spec;
  std::int64_t attempt = 0;
  std::int64_t config_version = 0;
};

struct HoldReply {
  AttemptId id;
  bool granted = false;
  ErrorId error = ErrorId::kNone;
  std::string reason;
  UpstreamId upstream;
  std::int64_t epoch = 0;
};

/// Starts an attempt for which the receiver holds capacity and whose claim has committed.
struct StartOrder {
  TaskSpec spec;
  std::int64_t attempt = 0;
  std::string checkpoint;
};

struct ReleaseHold {
  AttemptId id;
};

/// How an attempt ended.
enum class Outcome { kSucceeded, kFailed, kStopped, kCheckpointed, kExpired, kNotStarted };

template <>
struct EnumNames<Outcome> {
  static constexpr std::array<std::string_view, 6> kNames = {"succeeded",    "failed", "stopped",
                                                             "checkpointed", "lapsed", "not_started"};
};

/// Result of an attempt, sent by the owner until the home entry acknowledges it.
struct TaskResult {
  AttemptId id;
  Outcome outcome = Outcome::kNotStarted;
  UpstreamId upstream;
  std::int64_t run_ms = 0;
  std::string output;
};

struct TaskResultAck {
  AttemptId id;
};

/// Asks the owner of an upstream about a claimed attempt whose start order may not have been sent.
struct TaskProbe {
  AttemptId id;
  UpstreamId upstream;
  std::int64_t epoch = 0;
};

/// Answer to a probe for an attempt that is still running. Any other state is answered with a TaskResult.
struct TaskRunning {
  AttemptId id;
};

struct StopOrder {
  AttemptId id;
  StopMode mode = StopMode::kStop;
};

/// A newer configuration, as JSON.
struct ConfigPush {
  std::string config;
};

/// Asks the receiver to return unused allotment of a team to the pool.
struct AllotmentRequest {
  TeamId team;
  std::int64_t amount = 0;
};

/// Asks the home entry for the state of a task.
struct TaskQuery {
  std::uint64_t call = 0;
  TaskId task;
  TeamId team;
  bool cancel = false;
  std::int64_t wait_ms = 0;
};

struct TaskQueryReply {
  std::uint64_t call = 0;
  std::int64_t status = 0;  ///< HTTP status
  Verdict verdict = Verdict::kNotRun;
  ErrorId error = ErrorId::kNone;
  std::string body;
};

using PeerMessage = std::variant<Summary, RunRequest, RunReply, HoldRequest, HoldReply, StartOrder, ReleaseHold,
                                 TaskResult, TaskResultAck, TaskProbe, TaskRunning, StopOrder, ConfigPush,
                                 AllotmentRequest, TaskQuery, TaskQueryReply>;

}  // namespace jaymast
