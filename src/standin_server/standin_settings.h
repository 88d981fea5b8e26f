#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "model/upstream_info.h"
#include "standin/runner_settings.h"
#include "standin_server/platform_server.h"

namespace jaymast {

class TomlReader;

/// One runner of the process.
struct StandinRunner {
  RunnerSettings settings;
  UpstreamInfo info;   ///< as the instance list shows it
  bool listed = true;  ///< false keeps it out of the list, for a runner that entries must not use
};

/// Settings of jaymast-standin.
struct StandinSettings {
  std::string control;       ///< IP number and port of the control route, empty for none
  std::string events = "-";  ///< file of the event log, "-" for standard output
  std::size_t threads = 2;
  std::optional<StandinPlatformSettings> platform;
  std::vector<StandinRunner> runners;  ///< listed as instances too if the process serves the platform
};

/// Reads the settings of jaymast-standin.
/// @return the settings, or the first error with file, line, key and expected range
Result<StandinSettings> ReadStandinSettings(TomlReader reader);

}  // namespace jaymast
