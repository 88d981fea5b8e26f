#pragma once

#include <array>
#include <cstddef>

#include "base/enum_names.h"
#include "base/time.h"
#include "cell/feed_topic.h"

namespace jaymast {

/// Knows how recent the reports of the feeds are.
///
/// A report proves what the store held when the read was sent, not when its reply arrived.
class FeedFreshness {
 public:
  /// Everything reported so far on the topic was current at this time.
  void Confirm(FeedTopic topic, Time as_of);

  /// Age of the proof at `now`, or the time since the epoch of the clock if there is none.
  Duration AgeAt(FeedTopic topic, Time now) const { return now - m_as_of.at(static_cast<std::size_t>(topic)); }

 private:
  std::array<Time, EnumNames<FeedTopic>::kNames.size()> m_as_of{};
};

}  // namespace jaymast
