#pragma once

#include <memory>
#include <string_view>

#include "runtime/settings.h"

namespace jaymast {

/// Destination to which the lines of the event log are written.
class EventSink {
 public:
  virtual ~EventSink() = default;

  /// Writes lines that include their line breaks. Blocks until they are written.
  /// @return false if they could not be written
  virtual bool Write(std::string_view lines) = 0;

  /// Creates the sink that the settings name, or null for output "none".
  static std::unique_ptr<EventSink> Make(const EventSettings& settings);
};

}  // namespace jaymast
