#include "cell/feed_freshness.h"

#include <algorithm>

namespace jaymast {

void FeedFreshness::Confirm(FeedTopic topic, Time as_of) {
  Time& known = m_as_of.at(static_cast<std::size_t>(topic));
  known = std::max(known, as_of);
}

}  // namespace jaymast
