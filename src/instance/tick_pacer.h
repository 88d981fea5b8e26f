#pragma once

#include <cstdint>

#include "base/time.h"

namespace jaymast {

/// Decides when the tick that follows an event takes place.
///
/// While events keep arriving, a tick is due all the time. Its cost grows with the backlog, so ticks without a pause
/// between them would leave the loop no time to read the messages of other instances and of clients. The pause delays
/// leases, syncs and heartbeats too, so it is bounded.
class TickPacer {
 public:
  /// Delay after an event, so that one tick handles all calls of a burst.
  static constexpr Duration kEventDelay{1'000};

  /// A tick has taken place.
  void OnTick(Time began_at, Time ended_at);

  /// Time of the tick for an event at `now`.
  Time NextTickAt(Time now) const;

 private:
  static constexpr std::int64_t kPauseFactor = 2;  ///< ticks of up to 25 ms take at most a third of the time
  static constexpr Duration kMaxPause{50'000};     ///< a single long tick, after a takeover for example, delays nothing

  Time m_paused_until{};
};

}  // namespace jaymast
