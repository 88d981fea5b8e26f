#include "instance/response_times.h"

#include <algorithm>
#include <utility>

namespace jaymast {

ResponseTimes::Recent& ResponseTimes::Advance(CallKind kind, Time now) {
  Recent& recent = m_recent.at(static_cast<std::size_t>(kind));
  if (now < recent.next_window_at) return recent;
  const bool is_adjacent = now < recent.next_window_at + kWindow;
  recent.previous = is_adjacent ? recent.current : Window{};
  recent.current = {};
  recent.next_window_at = now + kWindow;
  return recent;
}

void ResponseTimes::Add(CallKind kind, Duration time, Time now) {
  Window& window = Advance(kind, now).current;
  ++window.answers;
  window.least = std::min(window.least, time);
}

std::optional<Duration> ResponseTimes::Fastest(CallKind kind, Time now) {
  const Recent& recent = Advance(kind, now);
  if (recent.current.answers + recent.previous.answers < kMinAnswers) return std::nullopt;
  return std::min(recent.current.least, recent.previous.least);
}

}  // namespace jaymast
