#pragma once

#include <cstddef>
#include <string>

#include "core/event.h"

namespace jaymast {

/// A guarantee that an event log breaks, with the event that shows it.
struct Violation {
  std::string guarantee;
  std::size_t index = 0;  ///< position of the event in the log, or the length of the log for a missing event
  Event event;
  std::string reason;
};

}  // namespace jaymast
