#include "cell/readiness_bound.h"

#include <gtest/gtest.h>

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs for a time and returns the time at the end.
Time TickFor(ReadinessBound& bound, Time now, Duration time, bool is_store_failing) {
  for (const Time end = now + time; now < end;) bound.OnTick(now += milliseconds(10), is_store_failing);
  return now;
}

// Guards against a log that no instance reads because each of them is stopped too early.
TEST(ReadinessBoundTest, BoundDoublesUpToItsMaximum) {
  EXPECT_EQ(ReadinessBound(0, {}).bound(), seconds(3));
  EXPECT_EQ(ReadinessBound(1, {}).bound(), seconds(6));
  EXPECT_EQ(ReadinessBound(3, {}).bound(), seconds(24));
  EXPECT_EQ(ReadinessBound(100, {}).bound(), seconds(24));
}

// Guards against terms that end because the store is unavailable, where no other instance could do better.
TEST(ReadinessBoundTest, OutageDoesNotCount) {
  ReadinessBound bound(0, Time{});
  Time now = TickFor(bound, Time{}, seconds(1), false);
  now = TickFor(bound, now, seconds(9), true);
  now = TickFor(bound, now, milliseconds(1950), false);
  EXPECT_FALSE(bound.is_exceeded());
  TickFor(bound, now, milliseconds(200), false);
  EXPECT_TRUE(bound.is_exceeded());
}

// Guards against a term that never ends because its own pages delay the other replies.
TEST(ReadinessBoundTest, ShortFailuresCount) {
  ReadinessBound bound(0, Time{});
  Time now{};
  for (int i = 0; i < 4; ++i) {
    now = TickFor(bound, now, milliseconds(800), true);
    now = TickFor(bound, now, milliseconds(10), false);
  }
  EXPECT_TRUE(bound.is_exceeded());
}

// Guards against a term that ends shortly before it has read a log over a slow link, and one that reads forever.
TEST(ReadinessBoundTest, ProgressDoublesTheTime) {
  ReadinessBound bound(0, Time{});
  Time now{};
  for (int i = 0; i < 5; ++i) {
    now = TickFor(bound, now, seconds(1), false);
    bound.OnProgress();
  }
  EXPECT_FALSE(bound.is_exceeded());
  now = TickFor(bound, now, milliseconds(1010), false);
  EXPECT_TRUE(bound.is_exceeded());
}

// Guards against a term that ends because its process was paused.
TEST(ReadinessBoundTest, PauseOfTheProcessDoesNotCount) {
  ReadinessBound bound(0, Time{});
  bound.OnTick(Time{} + seconds(10), false);
  EXPECT_FALSE(bound.is_exceeded());
}

}  // namespace
}  // namespace jaymast
