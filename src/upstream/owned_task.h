#pragma once

#include <cstdint>
#include <string>

#include "base/id.h"
#include "base/time.h"
#include "core/peer_message.h"
#include "model/task_spec.h"
#include "placement/overrun.h"

namespace jaymast {

/// Phase of an attempt, as seen by the owner of its upstream.
enum class OwnedTaskPhase {
  kHeld,        ///< capacity is allocated; the start order has not arrived
  kStarting,    ///< the start request is pending
  kUnresolved,  ///< the start request has an unknown outcome
  kRunning,
  kEnded,  ///< the home entry has not acknowledged the result
};

/// An attempt that uses, or used, an upstream of this entry.
struct OwnedTask {
  TaskSpec spec;
  EntryId home;
  UpstreamId upstream;
  OwnedTaskPhase phase = OwnedTaskPhase::kHeld;
  bool is_preview = false;
  bool is_from_runner = false;  ///< the result came from the runner, which keeps it until it is acknowledged
  bool stop_requested = false;
  StopMode stop_mode = StopMode::kStop;
  Time hold_deadline;
  Time phase_since;              ///< reports requested earlier do not reflect this phase
  std::int64_t start_by_ms = 0;  ///< on the runner's clock: an unresolved start has no effect after it
  OverrunDeadlines overrun;      ///< set when the task starts, if its run time has been learned
  OverrunAction overrun_action = OverrunAction::kNone;
  Time next_send;  ///< when to send the result again
  TaskResult result;
};

}  // namespace jaymast
