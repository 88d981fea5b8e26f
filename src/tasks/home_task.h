#pragma once

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "base/error.h"
#include "base/id.h"
#include "base/time.h"
#include "base/verdict.h"
#include "model/task_spec.h"

namespace jaymast {

/// Phase of a task at its home entry, the entry that accepted or adopted it.
enum class HomeTaskPhase {
  kAccepting,  ///< the acceptance is being committed
  kQueued,     ///< waits until a hold can be requested
  kHolding,    ///< a hold has been requested from an owner
  kHeld,       ///< has a hold and waits for the other members of its gang
  kClaiming,   ///< the claim of the held capacity is being committed
  kStarted,    ///< the start order was sent, or may have been
  kEnding,     ///< the outcome is being committed
  kEnded,
};

template <>
struct EnumNames<HomeTaskPhase> {
  static constexpr std::array<std::string_view, 8> kNames = {"accepting", "queued",  "holding", "held",
                                                             "claiming",  "started", "ending",  "ended"};
};

/// Final state of a task.
enum class EndState { kSucceeded, kFailed, kCancelled, kUnknown };

template <>
struct EnumNames<EndState> {
  static constexpr std::array<std::string_view, 4> kNames = {"succeeded", "failed", "cancelled", "unknown"};
};

struct TaskEnd {
  EndState state = EndState::kUnknown;
  Verdict verdict = Verdict::kNotRun;
  ErrorId error = ErrorId::kNone;
  std::string output;  ///< output if succeeded, else the reason
};

/// State of a durable task at its home entry.
struct HomeTask {
  TaskSpec spec;
  HomeTaskPhase phase = HomeTaskPhase::kAccepting;
  std::int64_t attempt = 0;
  EntryId owner;  ///< entry from which a hold is requested, or that runs the task
  UpstreamId upstream;
  DomainId domain;         ///< failure domain of the upstream
  std::int64_t epoch = 0;  ///< ownership epoch of the upstream at the hold
  std::string checkpoint;
  std::set<EntryId> refused_by;  ///< owners that refused a hold, timed out or failed the task; tried again last
  std::set<UpstreamId> failed_on;
  std::string wait_reason;  ///< why the task waits, for display
  std::int64_t backoff_count = 0;
  std::int64_t unanswered_probes = 0;
  bool cancel_requested = false;
  bool is_claimed = false;        ///< an attempt was claimed, so the task may have run
  bool is_outcome_known = false;  ///< ended, but the outcome is not committed yet because the store is unreachable
  Time next_probe;
  Time accepted_at;
  TaskEnd end;

  /// Whether the outcome may be reported to callers.
  bool HasOutcome() const {
    return phase == HomeTaskPhase::kEnded || (phase == HomeTaskPhase::kEnding && is_outcome_known);
  }
};

}  // namespace jaymast
