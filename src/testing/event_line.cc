#include "testing/event_line.h"

#include <fmt/format.h>

namespace jaymast {

std::string EventLine(const Event& event) {
  std::string line = fmt::format("{:>9.3f} {} {}", static_cast<double>(ToMicros(event.time)) / 1000.0, event.process,
                                 ToString(event.kind));
  const auto text = [&line](const char* name, const std::string& value) {
    if (!value.empty()) line += fmt::format(" {}={}", name, value);
  };
  const auto number = [&line](const char* name, std::int64_t value) {
    if (value != 0) line += fmt::format(" {}={}", name, value);
  };
  number("request", static_cast<std::int64_t>(event.request));
  text("task", event.task.value());
  number("attempt", event.attempt);
  text("team", event.team.value());
  text("upstream", event.upstream.value());
  text("domain", event.domain.value());
  text("other", event.other.value());
  number("epoch", event.epoch);
  number("config", event.config_version);
  number("amount", event.amount);
  text("verdict", event.verdict);
  text("detail", event.detail);
  return line;
}

}  // namespace jaymast
