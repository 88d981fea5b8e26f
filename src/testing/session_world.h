#pragma once

#include <fmt/format.h>

#include <string>
#include <vector>

#include "core/event.h"
#include "testing/event_line.h"
#include "testing/invariants/facts.h"
#include "testing/session_clock.h"
#include "testing/session_network.h"

namespace jaymast {

/// What all parts of a session share: the clock, the network, the facts and the trace.
struct SessionWorld {
  SessionClock clock;
  SessionNetwork network;
  Facts facts;
  std::vector<Event> events;
  std::string trace;  ///< event lines and the replies to callers
  std::vector<std::string> failed_expectations;

  void Emit(const Event& event) {
    events.push_back(event);
    trace += EventLine(event) + "\n";
  }

  void EmitFault(const std::string& detail) {
    Event event;
    event.time = clock.Now();
    event.process = "session";
    event.detail = detail;
    Emit(event);
  }

  void Note(const std::string& text) {
    const double millis = static_cast<double>(ToMicros(clock.Now())) / 1000.0;
    trace += fmt::format("{:>9.3f} {}\n", millis, text);
  }
};

}  // namespace jaymast
