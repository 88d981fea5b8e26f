#pragma once

#include "base/time.h"

namespace jaymast {

struct TaskState;

/// Estimates when a task that is allocated on an upstream ends.
///
/// The progress that its upstream reports decides, as soon as there is enough of it. Until then the run is expected to
/// take a little more than its expected run time at most. A run that has exceeded this without telling its progress, or
/// whose progress does not go on as before, may end at any time.
/// @param expected_run expected run time on the upstream of the task
/// @return the expected end, Time::max() if nothing is known about it
Time EstimateRunEnd(const TaskState& task, Duration expected_run, Time now);

}  // namespace jaymast
