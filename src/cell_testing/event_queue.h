#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "base/time.h"

namespace jaymast {

/// Simulated clock that calls functions at their times, in order.
class EventQueue {
 public:
  Time now() const { return m_now; }

  void At(Time time, std::function<void()> action) { m_events.emplace(std::pair{time, ++m_count}, std::move(action)); }
  void After(Duration delay, std::function<void()> action) { At(m_now + delay, std::move(action)); }

  void RunUntil(Time end) {
    while (!m_events.empty() && m_events.begin()->first.first <= end) {
      const auto action = std::move(m_events.begin()->second);
      m_now = std::max(m_now, m_events.begin()->first.first);
      m_events.erase(m_events.begin());
      action();
    }
    m_now = end;
  }

 private:
  Time m_now{Duration(1'000'000)};
  std::uint64_t m_count = 0;
  std::map<std::pair<Time, std::uint64_t>, std::function<void()>> m_events;
};

}  // namespace jaymast
