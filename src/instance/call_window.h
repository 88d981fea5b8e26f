#pragma once

#include <cstddef>
#include <optional>

#include "base/time.h"

namespace jaymast {

/// Bounds the calls that an instance has open at the leader, by how long the leader takes to get to them.
///
/// Additive increase, multiplicative decrease: the calls of all instances together keep the leader busy, and the others
/// wait where they can still be refused as not run. The delay is that until the leader handles a call, above the least
/// one, which is the latency of the link. Calls that wait for the store are no reason to send fewer, so the limit is
/// low only after calls were handled late.
class CallWindow {
 public:
  /// Delay above which fewer calls are sent: a part of the 250 ms within which urgent callers expect their answers.
  static constexpr Duration kMaxDelay{100'000};
  static constexpr double kMinLimit = 1;
  static constexpr double kMaxLimit = 256;
  static constexpr double kInitialLimit = 64;

  bool HasRoom() const { return static_cast<double>(m_open_calls) < m_limit; }
  std::size_t open_calls() const { return m_open_calls; }
  double limit() const { return m_limit; }

  void OnSent(Time now);

  /// Another leader takes over: calls that are open at the earlier one do not count.
  void OnNewLeader() { m_open_calls = 0; }

  /// A call that was sent at `sent_at` has ended.
  /// @param delay until the leader handled it, or nothing if the leader has not told it
  void OnEnded(Time sent_at, std::optional<Duration> delay, Time now);

 private:
  /// A longer delay is not that of the link alone.
  static constexpr Duration kMaxLatency{200'000};
  static constexpr double kGrowth = 0.25;  ///< for each answer, a quarter of the window in the time of an answer
  static constexpr double kMinDecrease = 0.7;
  static constexpr double kMaxDecrease = 0.5;

  void Decrease(Time sent_at, std::size_t open_calls, Duration waited, Time now);

  std::size_t m_open_calls = 0;
  double m_limit = kInitialLimit;
  Duration m_least_delay = kMaxLatency;
  Time m_decreased_at{};
  Time m_full_at{};         ///< when the window was full last
  Time m_last_prompt_at{};  ///< when a call that was handled without delay ended last
};

}  // namespace jaymast
