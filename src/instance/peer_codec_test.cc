#include "instance/peer_codec.h"

#include <gtest/gtest.h>

namespace jaymast {
namespace {

// Guards against the exclusion of followers of an older version, which announce no bandwidth, from the lead.
TEST(PeerCodecTest, MissingBandwidthMeansNoLimit) {
  const auto announcement = DecodeJoinAnnouncement(R"({"address": "a:1", "cpu_millis": 300})");
  ASSERT_TRUE(announcement);
  EXPECT_EQ(announcement->fitness.GetClass(), LeaderClass::kFit);
}

// Guards against a bandwidth that the leader does not learn.
TEST(PeerCodecTest, JoinAnnouncementCarriesBandwidth) {
  const auto announcement = DecodeJoinAnnouncement(EncodeJoinAnnouncement({"a:1", {300, 10}}));
  ASSERT_TRUE(announcement);
  EXPECT_EQ(announcement->fitness.link_mbps, 10);
  EXPECT_EQ(announcement->fitness.GetClass(), LeaderClass::kShortOfLink);
}

// Guards against unfit instances that do not wait when the leader is of an older version.
TEST(PeerCodecTest, MissingFittestClassMeansFit) {
  Heartbeat heartbeat;
  heartbeat.fittest_class = LeaderClass::kShortOfLink;
  EXPECT_EQ(DecodeHeartbeat(EncodeHeartbeat(heartbeat))->fittest_class, LeaderClass::kShortOfLink);
  const auto older = DecodeHeartbeat(R"({"record": "{\"epoch\":1,\"sequence\":1,\"address\":\"a\"}", "version": 3})");
  ASSERT_TRUE(older);
  EXPECT_EQ(older->fittest_class, LeaderClass::kFit);
}

// Guards against calls that are withheld from a leader of an older version.
TEST(PeerCodecTest, MissingReadinessMeansReady) {
  Heartbeat heartbeat;
  heartbeat.is_ready = false;
  EXPECT_FALSE(DecodeHeartbeat(EncodeHeartbeat(heartbeat))->is_ready);
  const auto older = DecodeHeartbeat(R"({"record": "{\"epoch\":1,\"sequence\":1,\"address\":\"a\"}", "version": 3})");
  ASSERT_TRUE(older);
  EXPECT_TRUE(older->is_ready);
}

}  // namespace
}  // namespace jaymast
