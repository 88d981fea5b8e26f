#pragma once

#include <memory>
#include <string_view>

#include "runtime/settings.h"

namespace jaymast {

/// Where the lines of the event log are written.
class EventSink {
 public:
  virtual ~EventSink() = default;

  /// Writes lines with their line ends. Blocks until they are written.
  /// @return false when they could not be written
  virtual bool Write(std::string_view lines) = 0;

  /// Sink for the settings, or empty when no output is wanted.
  static std::unique_ptr<EventSink> Make(const EventSettings& settings);
};

}  // namespace jaymast
