#include "cell/page_sizer.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace jaymast {
namespace {

constexpr Duration kLatency{4'000};

/// Reads a table of `rows` rows over a link that takes `row_time` for each.
/// @return time of the whole read, or the bound if it takes longer
Duration ReadTable(std::size_t rows, Duration row_time, Duration bound) {
  PageSizer sizer;
  Duration elapsed{};
  while (rows > 0 && elapsed < bound) {
    const std::size_t page = std::min(rows, sizer.limits().max_rows);
    const Duration needed = kLatency + row_time * static_cast<std::int64_t>(page);
    const Duration taken = std::min(needed, sizer.limits().timeout);
    elapsed += taken;
    if (taken < needed) {
      sizer.OnFailure(taken);
      continue;
    }
    sizer.OnPage(taken);
    rows -= page;
  }
  return std::min(elapsed, bound);
}

// Guards against a read that never ends because its pages are larger than the link carries within their time limit.
TEST(PageSizerTest, SlowLinkReadsWithinTwiceItsTransferTime) {
  constexpr std::size_t kRows = 400;
  for (const Duration row_time : {Duration(500), Duration(35'000), Duration(300'000), Duration(1'500'000)}) {
    const Duration transfer = row_time * static_cast<std::int64_t>(kRows);
    EXPECT_LT(ReadTable(kRows, row_time, transfer * 10), transfer * 2) << row_time.count();
  }
}

// Guards against a call for each of a few rows on a link that carries all of them at once.
TEST(PageSizerTest, FastLinkReadsInFewPages) {
  EXPECT_LT(ReadTable(5'000, Duration(50), Duration(10'000'000)), kLatency * 20 + Duration(250'000));
}

// Guards against smaller pages because the store refuses calls during an outage.
TEST(PageSizerTest, RefusalsDoNotShrinkPages) {
  PageSizer sizer;
  const std::size_t before = sizer.limits().max_rows;
  sizer.OnFailure(kLatency);
  EXPECT_EQ(sizer.limits().max_rows, before);
}

}  // namespace
}  // namespace jaymast
