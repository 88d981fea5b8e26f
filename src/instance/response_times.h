#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "base/time.h"
#include "instance/call_kind.h"

namespace jaymast {

/// Knows how soon the leader has recently answered calls.
class ResponseTimes {
 public:
  void Add(CallKind kind, Duration time, Time now);

  /// Least time of the recent answers, or nothing if there were too few to judge by.
  std::optional<Duration> Fastest(CallKind kind, Time now);

 private:
  static constexpr Duration kWindow{2'000'000};
  static constexpr std::size_t kMinAnswers = 8;

  struct Window {
    std::size_t answers = 0;
    Duration least = Duration::max();
  };
  struct Recent {
    Window current;
    Window previous;
    Time next_window_at{};
  };

  Recent& Advance(CallKind kind, Time now);

  std::array<Recent, EnumNames<CallKind>::kNames.size()> m_recent;  ///< by kind
};

}  // namespace jaymast
