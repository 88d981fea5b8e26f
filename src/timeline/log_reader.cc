#include "timeline/log_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "runtime/event_codec.h"

namespace jaymast {

Result<EventLog> ParseEventLog(std::string_view text, const std::string& file) {
  EventLog log;
  std::size_t number = 0;
  while (!text.empty()) {
    ++number;
    const std::size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    const bool is_cut_off = end == std::string_view::npos;
    text.remove_prefix(is_cut_off ? text.size() : end + 1);
    if (line.empty()) continue;
    Result<Event> event = DecodeEvent(line);
    if (event) {
      log.events.push_back(std::move(*event));
    } else if (is_cut_off) {
      log.truncated = true;
    } else {
      const Error& error = event.error();
      return Error{error.id, fmt::format("{}:{}: {}", file, number, error.path), error.reason};
    }
  }
  return log;
}

}  // namespace jaymast
