#pragma once

#include <array>
#include <cstddef>

#include "base/enum_names.h"
#include "base/time.h"
#include "cell/feed_bounds.h"
#include "cell/feed_topic.h"

namespace jaymast {

/// Knows how recent the reports of the feeds are.
///
/// A report proves what the store held when the read was sent, not when its reply arrived. A decision that depends on a
/// report may be taken only while its proof is younger than the bound of the platform, whatever the cause of its age.
class FeedFreshness {
 public:
  explicit FeedFreshness(const FeedBounds& bounds);

  /// Everything reported so far on the topic was current at this time.
  void Confirm(FeedTopic topic, Time as_of);

  /// Whether a decision may depend on what was reported on the topic.
  bool IsRecent(FeedTopic topic, Time now) const {
    return AgeAt(topic, now) <= m_max_ages.at(static_cast<std::size_t>(topic));
  }

  /// Age of the proof at `now`, or the time since the epoch of the clock if there is none.
  Duration AgeAt(FeedTopic topic, Time now) const { return now - m_as_of.at(static_cast<std::size_t>(topic)); }

 private:
  static constexpr std::size_t kTopics = EnumNames<FeedTopic>::kNames.size();

  /// Time that an order or a reply takes to arrive, and the difference of the clocks.
  static constexpr Duration kDeliveryMargin{300'000};

  const std::array<Duration, kTopics> m_max_ages;
  std::array<Time, kTopics> m_as_of{};
};

}  // namespace jaymast
