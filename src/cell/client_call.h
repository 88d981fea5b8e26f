#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/time.h"
#include "jobs/cell_config.h"
#include "jobs/job.h"

namespace jaymast {

/// No call is open for longer, also if its client states a longer timeout.
inline constexpr Duration kMaxCallDuration{10'000'000};

enum class ClientAction { kSubmit, kReadState, kCancel, kReadQueue };

/// A decoded call of a client.
struct ClientCall {
  ClientAction action = ClientAction::kReadState;
  std::string host;
  std::string path;                ///< without query
  std::optional<std::string> key;  ///< API key of the client's organisation
  std::string call_id;             ///< the same for all retries and copies of one call
  std::optional<JobSpec> spec;     ///< set for a submission that was parsed
  /// Version of the configuration by which the instance that took the call has already answered, or heard of.
  std::int64_t min_config_version = 0;
};

enum class ClientOutcome {
  kAccepted,  ///< the job is committed to the store
  kState,
  kCancelled,
  kQueueLength,
  kNoSuchJob,
  kNoSuchQueue,
  kUnknownKey,
  kMalformed,
  kOverloaded,   ///< certainly not run; retry after retry_after_s
  kUnavailable,  ///< certainly not run; the cell can't accept jobs now
  kNotLeader,    ///< undecided; another instance is or becomes the leader
};

struct ClientReply {
  ClientOutcome outcome = ClientOutcome::kUnavailable;
  JobState state = JobState::kPending;
  std::int64_t waiting_jobs = 0;
  std::int64_t retry_after_s = 0;
  std::string reason{};             ///< why the call is malformed, or empty
  std::int64_t config_version = 0;  ///< by which the call was decided, 0 if by none
};

using ClientReplyFunction = std::function<void(const ClientReply&)>;

}  // namespace jaymast
