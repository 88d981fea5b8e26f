#pragma once

#include <cstdint>
#include <string>

#include "base/id.h"
#include "base/time.h"
#include "core/peer_message.h"
#include "model/task_spec.h"
#include "placement/overrun.h"

namespace jaymast {

/// Phase of an attempt at its owner.
enum class OwnedTaskPhase {
  kHeld,        ///< capacity is reserved, the start order is awaited
  kStarting,    ///< the start request is open
  kUnresolved,  ///< the answer to the start request was lost
  kRunning,
  kEnded,  ///< the result awaits the acknowledgement of the home entry
};

/// An attempt that uses, or used, an upstream of this entry.
struct OwnedTask {
  TaskSpec spec;
  EntryId home;
  UpstreamId upstream;
  OwnedTaskPhase phase = OwnedTaskPhase::kHeld;
  bool is_preview = false;
  bool is_from_runner = false;  ///< the runner keeps the result until it is acknowledged
  bool stop_requested = false;
  StopMode stop_mode = StopMode::kStop;
  Time hold_deadline;
  Time phase_since;              ///< reports requested before this time do not tell about the phase
  std::int64_t start_by_ms = 0;  ///< after this time on the runner's clock a lost start cannot take effect
  OverrunDeadlines overrun;      ///< when the task runs longer than expected
  OverrunAction overrun_action = OverrunAction::kNone;
  Time next_send;  ///< when the result is sent again
  TaskResult result;
};

}  // namespace jaymast
