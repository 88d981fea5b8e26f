#pragma once

#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "base/time.h"

namespace jaymast {

/// Runs callbacks in the order of their deadlines, those with the same deadline in the order of insertion.
class Timers {
 public:
  using Callback = std::function<void()>;

  void At(Time deadline, Callback callback) { m_callbacks.emplace(deadline, std::move(callback)); }

  /// Runs all callbacks whose deadline has passed, including due ones added by these callbacks.
  void Run(Time now) {
    while (!m_callbacks.empty() && m_callbacks.begin()->first <= now) {
      const Callback callback = std::move(m_callbacks.begin()->second);
      m_callbacks.erase(m_callbacks.begin());
      callback();
    }
  }

  std::optional<Time> NextDeadline() const {
    if (m_callbacks.empty()) return std::nullopt;
    return m_callbacks.begin()->first;
  }

 private:
  std::multimap<Time, Callback> m_callbacks;
};

}  // namespace jaymast
