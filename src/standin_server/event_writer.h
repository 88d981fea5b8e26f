#pragma once

#include <fstream>
#include <iosfwd>
#include <memory>
#include <mutex>
#include <string>

#include "base/result.h"
#include "core/event.h"

namespace jaymast {

/// Writes events as lines of JSON to a file or to standard output. It may be used from any thread.
class EventWriter {
 public:
  /// @param target name of the file, which is replaced, or "-" for standard output
  static Result<std::unique_ptr<EventWriter>> Open(const std::string& target);

  /// Writes the line at once, so that a log is complete up to the moment at which the process is killed.
  void Write(const Event& event);

 private:
  explicit EventWriter(std::ostream* out) : m_out(out) {}

  std::mutex m_mutex;
  std::ofstream m_file;
  std::ostream* m_out;
};

}  // namespace jaymast
