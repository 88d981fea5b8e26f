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

/// Heartbeat between entries, with the free capacity of the sender's upstreams.
struct Summary {
  DomainId domain;
  bool serving = false;
  Resources free;
  Resources largest_free;  ///< free capacity of the sender's least loaded upstream
  std::int64_t config_version = 0;
  std::int64_t handovers = 0;  ///< upstreams handed over by the sender; peers read the owner rows when it changes
};

/// Asks an owner to place and run a task that needs no claim in the table.
struct RunRequest {
  std::uint64_t call = 0;  ///< number chosen by the sender and repeated in the reply
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

/// Asks an owner to reserve capacity for an attempt. The specification is sent without its body.
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

/// Starts an attempt whose claim has committed and for which the receiver has reserved capacity.
struct StartOrder {
  TaskSpec spec;
  std::int64_t attempt = 0;
  std::string checkpoint;
};

/// Frees the capacity reserved for an attempt.
struct ReleaseHold {
  AttemptId id;
};

/// How an attempt ended. kExpired (its lease ended, or its runner does not know it) is written as "lapsed".
enum class Outcome { kSucceeded, kFailed, kStopped, kCheckpointed, kExpired, kNotStarted };

template <>
struct EnumNames<Outcome> {
  static constexpr std::array<std::string_view, 6> kNames = {"succeeded",    "failed", "stopped",
                                                             "checkpointed", "lapsed", "not_started"};
};

/// Result of an attempt. The owner repeats it until the home entry acknowledges it.
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

/// Asks the owner of an upstream for the state of a claimed attempt whose StartOrder may not have been sent.
struct TaskProbe {
  AttemptId id;
  UpstreamId upstream;
  std::int64_t epoch = 0;
};

/// Reply to a TaskProbe for an attempt that is still running. For any other state, the reply is a TaskResult.
struct TaskRunning {
  AttemptId id;
};

struct StopOrder {
  AttemptId id;
  StopMode mode = StopMode::kStop;
};

/// Distributes a newer configuration, as JSON.
struct ConfigPush {
  std::string config;
};

/// Asks the receiver to return unused allotment of a team to the shared pool.
struct AllotmentRequest {
  TeamId team;
  std::int64_t amount = 0;
};

/// Asks the home entry for the state of a task, and to cancel the task if `cancel` is set.
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
