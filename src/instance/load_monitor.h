#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "base/time.h"
#include "instance/work_kind.h"

namespace jaymast {

class CellEventSink;

/// Measures what the event loop of an instance spends its time on, and how long work waits for its turn.
///
/// Emits `load.high` at most once in each window while a value exceeds its bound. Time is the elapsed time of the
/// loop's thread, so it includes the time for which the thread waits for a processor.
class LoadMonitor {
 public:
  /// Share of the time that the loop spends in handlers.
  static constexpr double kMaxBusyShare = 0.7;
  /// Delay of a tick, and of a relayed call until the leader handles it.
  static constexpr Duration kMaxDelay{250'000};

  LoadMonitor(CellEventSink& events, Time now) : m_events(events), m_window_began_at(now) {}

  /// The loop has worked from `began_at` to `ended_at`.
  void AddWork(WorkKind kind, Time began_at, Time ended_at);
  /// A tick that was due at `due_at` begins.
  void OnTick(Time due_at, Time now);
  /// A call that another instance has sent at `sent_at` is handled.
  void OnRelayedCall(Time sent_at, Time now, bool is_expired);

  /// Values of the last complete window by full metric name; counters since the start.
  std::map<std::string, double> Gauges() const;

 private:
  static constexpr Duration kWindow{1'000'000};
  static constexpr std::size_t kKinds = EnumNames<WorkKind>::kNames.size();

  struct Window {
    std::array<double, kKinds> busy_shares{};
    std::size_t ticks = 0;
    Duration tick_delay{};   ///< longest
    Duration relay_delay{};  ///< longest
    std::size_t relayed_calls = 0;
    std::size_t expired_calls = 0;  ///< handled past the deadlines of their callers
  };

  void EndWindow(Time now);

  CellEventSink& m_events;
  Time m_window_began_at;
  std::array<Duration, kKinds> m_busy{};
  Window m_window;
  Window m_last;
  std::size_t m_relayed_calls = 0;
  std::size_t m_expired_calls = 0;
};

}  // namespace jaymast
