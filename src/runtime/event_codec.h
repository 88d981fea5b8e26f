#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "core/event.h"

namespace jaymast {

/// One line of an event log: a JSON object without a line end. Fields without a value are left out.
std::string EncodeEvent(const Event& event);

/// Decodes a line of an event log.
/// @return the event, or an error with the path of the offending field
Result<Event> DecodeEvent(std::string_view line);

}  // namespace jaymast
