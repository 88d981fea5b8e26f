#pragma once

#include <algorithm>
#include <utility>

#include "base/time.h"
#include "core/timers.h"

namespace jaymast {

/// Fake clock of a session. Time passes only from one callback to the next.
class SessionClock {
 public:
  Time Now() const { return m_now; }
  void At(Time time, Timers::Callback callback) { m_timers.At(std::max(time, m_now), std::move(callback)); }
  void After(Duration delay, Timers::Callback callback) { At(m_now + delay, std::move(callback)); }

  /// Runs all callbacks up to and including `end`, in the order of their times, then of their registration.
  void RunUntil(Time end) {
    while (m_timers.NextDeadline() && *m_timers.NextDeadline() <= end) {
      m_now = std::max(m_now, *m_timers.NextDeadline());
      m_timers.Run(m_now);
    }
    m_now = end;
  }

 private:
  Timers m_timers;
  Time m_now;
};

}  // namespace jaymast
