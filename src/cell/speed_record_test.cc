#include "cell/speed_record.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace jaymast {
namespace {

TEST(SpeedRecordTest, DecodesWhatWasEncoded) {
  const std::vector<LearnedSlowness> speeds = {
      {"s", UpstreamId("u1"), 1'767'990'076'451, -0.531, 0.012},
      {"s", UpstreamId("u2"), 7, 0.357, 0.25},
      {"t", UpstreamId("odd \"id\""), 0, 0, 0.001},
  };
  EXPECT_EQ(DecodeSpeeds(EncodeSpeeds(speeds)), speeds);
  EXPECT_EQ(DecodeSpeeds("{}"), std::vector<LearnedSlowness>{});
}

// Guards against a transaction that the store rejects because a row is too long.
TEST(SpeedRecordTest, RowIsBounded) {
  std::vector<LearnedSlowness> speeds;
  speeds.reserve(3000);
  for (int i = 0; i < 3000; ++i) {
    speeds.push_back({"s", UpstreamId("upstream-" + std::to_string(i)), 1'767'990'076'451, 0.5, 0.01});
  }
  const std::string text = EncodeSpeeds(speeds);
  EXPECT_LE(text.size(), 65'536U);
  EXPECT_GT(DecodeSpeeds(text)->size(), 350U);
}

// Guards against a new leader that uses a row which another version or a fault has written.
TEST(SpeedRecordTest, MalformedRowIsRejected) {
  for (const char* text : {"", "[]", "{\"s\":1}", "{\"s\":{\"u\":[1,2]}}", "{\"s\":{\"u\":[1,2,0]}}",
                           "{\"s\":{\"u\":[1,99999,10]}}", "{\"s\":{\"u\":[1,2.5,10]}}", "{\"s\":{\"u\":[1,2,10]}"}) {
    EXPECT_FALSE(DecodeSpeeds(text)) << text;
  }
}

}  // namespace
}  // namespace jaymast
