#include "limits/allotment_row.h"

#include <gtest/gtest.h>

#include <numeric>

#include "testing/property_check.h"

namespace jaymast {
namespace {

const EntryId kEntry("e1");

// Guards against sums of amounts that overflow, and against a negative amount that lets other entries exceed the limit.
TEST(AllotmentRowTest, AmountsOutOfRangeAreClamped) {
  EXPECT_EQ(DecodeAllotments(R"({"e1":9223372036854775807})")->at(kEntry), kMaxAllotment);
  EXPECT_EQ(DecodeAllotments(R"({"e1":18446744073709551615})")->at(kEntry), kMaxAllotment);
  EXPECT_EQ(DecodeAllotments(R"({"e1":-5})")->at(kEntry), 0);
  EXPECT_EQ(DecodeAllotments(R"({"e1":7})")->at(kEntry), 7);
}

// Guards against a malformed row that decodes to no holders, which would hand out the limit a second time.
TEST(AllotmentRowTest, MalformedRowsAreErrors) {
  EXPECT_FALSE(DecodeAllotments("{"));
  EXPECT_EQ(DecodeAllotments(R"({"e1":"many"})").error().path, "allot/e1");
}

// Guards against malformed rows that crash the decoder or decode to amounts out of range.
TEST(AllotmentRowTest, MutatedRowsYieldAmountsInRange) {
  const std::string sample = EncodeAllotments({{kEntry, 3}, {EntryId("e2"), 40}});
  CheckWithFixedSeed(1'000, [&sample] {
    const auto holders = DecodeAllotments(MutatedJson(sample));
    if (!holders) return;
    for (const auto& [entry, amount] : *holders) RC_ASSERT(amount >= 0 && amount <= kMaxAllotment);
    const std::string encoded = EncodeAllotments(*holders);
    RC_ASSERT(EncodeAllotments(*DecodeAllotments(encoded)) == encoded);
  });
}

}  // namespace
}  // namespace jaymast
