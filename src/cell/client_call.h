#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "jobs/cell_config.h"
#include "jobs/job.h"

namespace jaymast {

enum class ClientAction { kSubmit, kReadState, kCancel, kReadQueue };

/// A decoded call of a client.
struct ClientCall {
  ClientAction action = ClientAction::kReadState;
  std::string host;
  std::string path;                ///< without query
  std::optional<std::string> key;  ///< of the client's organisation
  std::string call_id;             ///< the same for all copies of one call of a client
  std::optional<JobSpec> spec;     ///< set for a submission that could be read
};

enum class ClientOutcome {
  kAccepted,  ///< the job is in the store
  kState,
  kCancelled,
  kQueueLength,
  kNoSuchJob,
  kNoSuchQueue,
  kUnknownKey,
  kMalformed,
  kOverloaded,   ///< certainly not run; come back after retry_after_s
  kUnavailable,  ///< certainly not run; the cell cannot accept now
  kNotLeader,    ///< not decided; another instance is or becomes the leader
};

struct ClientReply {
  ClientOutcome outcome = ClientOutcome::kUnavailable;
  JobState state = JobState::kPending;
  std::int64_t waiting_jobs = 0;
  std::int64_t retry_after_s = 0;
};

using ClientReplyFunction = std::function<void(const ClientReply&)>;

}  // namespace jaymast
