#pragma once

#include "base/time.h"

namespace jaymast {

/// Faults that can be injected into a fake runner.
struct RunnerFaults {
  bool fail = false;     ///< each task that starts fails within a few milliseconds
  double slow = 1.0;     ///< factor on the run time of tasks that start
  bool hang = false;     ///< no request is answered and no task ends; leases still lapse
  Duration usage_lag{};  ///< age of the usage in reports

  friend bool operator==(const RunnerFaults&, const RunnerFaults&) = default;
};

}  // namespace jaymast
