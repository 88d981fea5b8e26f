#pragma once

#include <optional>

#include "base/time.h"

namespace jaymast {

/// Estimates the clock of another instance from messages that state their time of sending.
///
/// The least difference between the time of receipt and the stated one is the difference of the clocks plus the least
/// delay of a message. So a converted deadline is early by that delay, which leaves the time for the reply.
class PeerClock {
 public:
  /// @param sent_at on the clock of the other instance
  /// @param received_at on the clock of this instance
  void OnMessage(Time sent_at, Time received_at);

  /// Forgets the other instance, for example because another one takes its place.
  void Reset() { *this = {}; }

  /// Converts a time on the clock of this instance, or returns nothing before the first message.
  std::optional<Time> ToPeer(Time own) const;

 private:
  /// Steady clocks differ in speed by up to some 100 us a second, so old differences are forgotten.
  static constexpr Duration kWindow{10'000'000};

  std::optional<Duration> m_least;           ///< of the present window
  std::optional<Duration> m_least_previous;  ///< of the window before
  Time m_window_began_at{};
};

}  // namespace jaymast
