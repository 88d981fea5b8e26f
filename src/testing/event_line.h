#pragma once

#include <string>

#include "core/event.h"

namespace jaymast {

/// One line of an event log as text: the time in milliseconds, the process, the kind and the fields that are set.
std::string EventLine(const Event& event);

}  // namespace jaymast
