#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace jaymast {

/// Tells an outage of the store, which shows by silence, from a slow link, on which parts of replies arrive.
///
/// A call that was sent during an outage gets no reply even after the store is back. So the first sign of life ends the
/// wait for all calls sent before: they are sent again at once instead of at their time limits.
class StoreContact {
 public:
  void OnCallSent(Time now);
  /// @param is_answered whether the call got a reply, rather than being given up
  void OnCallEnded(bool is_answered);
  /// A part of a reply to any call has arrived.
  void OnReceived(Time at);

  /// Whether calls were sent and nothing has arrived for longer than a slow store takes to reply.
  bool IsSilent(Time now) const { return m_is_waiting && now - m_silent_since > kSilence; }

  /// Number of silences that have ended. Calls sent at a lower number are unlikely to get a reply.
  std::uint64_t ended_silences() const { return m_ended_silences; }

 private:
  /// A slow store replies within 400 ms, and the leader's commits are at most 250 ms apart.
  static constexpr Duration kSilence{600'000};

  std::size_t m_open_calls = 0;
  bool m_is_waiting = false;  ///< a call is open, or the last one was given up
  Time m_silent_since{};
  std::uint64_t m_ended_silences = 0;
};

}  // namespace jaymast
