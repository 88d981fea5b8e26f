#include "cell/feed_freshness.h"

#include <gtest/gtest.h>

namespace jaymast {
namespace {

using std::chrono::milliseconds;

Time At(int ms) { return Time{} + milliseconds(ms); }

// Guards against a decision that arrives only after the bound of the platform.
TEST(FeedFreshnessTest, ProofEndsBeforeTheBound) {
  FeedFreshness freshness({milliseconds(2000), milliseconds(3000), milliseconds(5000)});
  for (const FeedTopic topic : {FeedTopic::kConfiguration, FeedTopic::kUpstreams, FeedTopic::kDomains}) {
    freshness.Confirm(topic, At(10'000));
  }
  EXPECT_TRUE(freshness.IsRecent(FeedTopic::kConfiguration, At(11'700)));
  EXPECT_FALSE(freshness.IsRecent(FeedTopic::kConfiguration, At(11'701)));
  EXPECT_TRUE(freshness.IsRecent(FeedTopic::kUpstreams, At(12'700)));
  EXPECT_FALSE(freshness.IsRecent(FeedTopic::kUpstreams, At(12'701)));
  EXPECT_TRUE(freshness.IsRecent(FeedTopic::kDomains, At(14'700)));
  EXPECT_FALSE(freshness.IsRecent(FeedTopic::kDomains, At(14'701)));
}

// Guards against the late reply to an early read that makes a proof older.
TEST(FeedFreshnessTest, EarlierReadDoesNotReplaceLaterOne) {
  FeedFreshness freshness{FeedBounds{}};
  freshness.Confirm(FeedTopic::kUpstreams, At(10'000));
  freshness.Confirm(FeedTopic::kUpstreams, At(9'000));
  EXPECT_EQ(freshness.AgeAt(FeedTopic::kUpstreams, At(10'500)), milliseconds(500));
}

}  // namespace
}  // namespace jaymast
