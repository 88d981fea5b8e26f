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

/// Phase of a task at its home entry.
enum class HomeTaskPhase {
  kAccepting,  ///< the acceptance is being committed
  kQueued,     ///< waits to ask an owner for a hold
  kHolding,    ///< an owner has been asked
  kHeld,       ///< held, and waits for the other members of its gang
  kClaiming,   ///< the claim is being committed
  kStarted,    ///< the start order was sent, or may have been
  kEnding,     ///< the outcome is being committed
  kEnded,
};

template <>
struct EnumNames<HomeTaskPhase> {
  static constexpr std::array<std::string_view, 8> kNames = {"accepting", "queued",  "holding", "held",
                                                             "claiming",  "started", "ending",  "ended"};
};

/// How a task ended.
enum class EndState { kSucceeded, kFailed, kCancelled, kUnknown };

template <>
struct EnumNames<EndState> {
  static constexpr std::array<std::string_view, 4> kNames = {"succeeded", "failed", "cancelled", "unknown"};
};

struct TaskEnd {
  EndState state = EndState::kUnknown;
  Verdict verdict = Verdict::kNotRun;
  ErrorId error = ErrorId::kNone;
  std::string output;  ///< output when succeeded, otherwise the reason
};

/// A durable task whose home is this entry.
struct HomeTask {
  TaskSpec spec;
  HomeTaskPhase phase = HomeTaskPhase::kAccepting;
  std::int64_t attempt = 0;
  EntryId owner;  ///< entry that was asked, or that runs the task
  UpstreamId upstream;
  DomainId domain;  ///< failure domain of the upstream
  std::int64_t epoch = 0;
  std::string checkpoint;
  std::set<EntryId> refused_by;
  std::set<UpstreamId> failed_on;
  std::string wait_reason;  ///< why the task waits, for people
  std::int64_t backoffs = 0;
  std::int64_t silent_probes = 0;
  bool cancel_requested = false;
  bool is_claimed = false;        ///< some attempt was claimed, so the task may have run
  bool is_outcome_known = false;  ///< ended, but the store is unreachable and the outcome is not recorded yet
  Time next_probe;
  Time accepted_at;
  TaskEnd end;

  /// Whether callers can be told the outcome.
  bool HasOutcome() const {
    return phase == HomeTaskPhase::kEnded || (phase == HomeTaskPhase::kEnding && is_outcome_known);
  }
};

}  // namespace jaymast
