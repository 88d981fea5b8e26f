#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "base/id.h"
#include "base/resources.h"
#include "base/time.h"

namespace jaymast {

/// Settings of one fake runner.
struct RunnerSettings {
  std::string name;  ///< name of the process in events
  UpstreamId upstream;
  DomainId domain;
  Resources capacity;
  std::int64_t connections = 64;     ///< most run calls that may wait for their output at once
  double run_time_factor = 1.0;      ///< actual run time divided by the declared one
  double usage_factor = 1.0;         ///< actual usage divided by the declared demand
  std::int64_t max_finished = 1000;  ///< results that were not acknowledged; at the bound starts are refused
  /// An ended attempt is remembered this long, so that a delayed copy of its start is not run again.
  Duration known_retention = std::chrono::seconds(60);
};

}  // namespace jaymast
