#include "cell/work_rate.h"

#include <gtest/gtest.h>

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Load pattern: urgent work of 10 units arrives every 100 ms for 20 s, then none.
// Guards against a rate that differs from the one that arrives, and one that stays after the work has stopped.
TEST(WorkRateTest, FollowsTheRateOfHigherPriorities) {
  WorkRate rate;
  Time now(Duration(1'000'000));
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(100);
    rate.Add(0, 10, now);
    rate.Add(1, 1000, now);
  }
  EXPECT_NEAR(rate.RateAbove(1, now), 100, 5);
  EXPECT_DOUBLE_EQ(rate.RateAbove(0, now), 0) << "no work has a higher priority";
  EXPECT_LT(rate.RateAbove(1, now + seconds(10)), 1);
}

}  // namespace
}  // namespace jaymast
