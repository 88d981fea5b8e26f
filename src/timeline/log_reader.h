#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "core/event.h"

namespace jaymast {

/// Events of one log.
struct EventLog {
  std::vector<Event> events;
  bool truncated = false;  ///< the last line was cut off, as a crash of the process leaves it
};

/// Decodes a log with one JSON object a line. Empty lines are skipped. A malformed last line without a line end is not
/// an error.
/// @return the events, or an error with the path "FILE:LINE"
Result<EventLog> ParseEventLog(std::string_view text, const std::string& file);

}  // namespace jaymast
