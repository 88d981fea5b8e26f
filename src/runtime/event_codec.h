#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "core/event.h"

namespace jaymast {

/// Encodes an event as one line of an event log: a JSON object without a line break. Optional fields that are empty or
/// zero are omitted.
std::string EncodeEvent(const Event& event);

/// Decodes a line of an event log.
/// @return the event, or an error with the path of the invalid field
Result<Event> DecodeEvent(std::string_view line);

}  // namespace jaymast
