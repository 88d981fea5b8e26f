#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace jaymast {

/// Decides when a term that does not become ready ends, so that an instance with a better link can read the records.
///
/// The bound doubles with each consecutive term that ended before it was ready, so that a log that is slow for all
/// instances is eventually read. A term that makes progress has twice the time: what it has read is lost when it ends.
/// Time during which the store does not reply does not count.
class ReadinessBound {
 public:
  /// @param unready_terms consecutive terms before this one that ended before they were ready
  ReadinessBound(std::int64_t unready_terms, Time now)
      : m_last_tick_at(now),
        m_bound(kFirstBound * (std::int64_t{1} << std::clamp<std::int64_t>(unready_terms, 0, kMaxDoublings))) {}

  /// @param is_store_failing whether the oldest call that the store has to answer is late or was refused
  void OnTick(Time now, bool is_store_failing) {
    // A paused process has not waited for the store.
    m_uncertain += std::min(now - m_last_tick_at, kMaxTickInterval);
    m_last_tick_at = now;
    if (is_store_failing) return;
    // A short failure counts: a reply may be late because a page occupies the link.
    if (m_uncertain < kOutage) m_counted += m_uncertain;
    m_uncertain = Duration::zero();
  }

  /// A part of the records has arrived.
  void OnProgress() { m_progress_at = m_counted; }

  bool is_exceeded() const {
    const bool makes_progress = m_progress_at && m_counted - *m_progress_at < kProgressTimeout;
    return m_counted > (makes_progress ? m_bound * 2 : m_bound);
  }
  Duration bound() const { return m_bound; }

  static constexpr Duration kFirstBound{3'000'000};
  static constexpr std::int64_t kMaxDoublings = 3;  ///< up to 24 s

 private:
  static constexpr Duration kMaxTickInterval{200'000};
  /// Without a reply for this time the store counts as unavailable.
  static constexpr Duration kOutage{1'300'000};
  /// Longer than the time limit of a page and the next, smaller one on the same link.
  static constexpr Duration kProgressTimeout{1'500'000};

  Time m_last_tick_at;
  const Duration m_bound;
  Duration m_counted{};                   ///< while the store replied
  std::optional<Duration> m_progress_at;  ///< counted time at the last progress
  Duration m_uncertain{};                 ///< since the last tick at which the store was not failing
};

}  // namespace jaymast
