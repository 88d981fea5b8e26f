#include "cell/feed_freshness.h"

#include <algorithm>

namespace jaymast {

FeedFreshness::FeedFreshness(const FeedBounds& bounds)
    : m_max_ages{bounds.configuration - kDeliveryMargin, bounds.upstreams - kDeliveryMargin,
                 bounds.domains - kDeliveryMargin} {}

void FeedFreshness::Confirm(FeedTopic topic, Time as_of) {
  Time& known = m_as_of.at(static_cast<std::size_t>(topic));
  known = std::max(known, as_of);
}

}  // namespace jaymast
