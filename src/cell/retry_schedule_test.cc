#include "cell/retry_schedule.h"

#include <gtest/gtest.h>

#include <limits>
#include <map>

namespace jaymast {
namespace {

using std::chrono::milliseconds;

// Load pattern: 100 callers are refused at the same moment, each with a tenth of what a second completes.
// Guards against callers that all come back at the same moment, of which most are refused again.
TEST(RetryScheduleTest, SpreadsCallersRefusedAtTheSameMoment) {
  RetrySchedule schedule;
  const Time now(Duration(1'500'000));
  std::map<std::int64_t, int> callers;
  for (int i = 0; i < 100; ++i) ++callers[schedule.Reserve(now, 1.2, 0.1, 1)];
  EXPECT_EQ(callers.begin()->first, 2) << "not before the queue is short enough";
  for (const auto& [delay_s, count] : callers) {
    // Nobody waits longer than the longest delay, so the last second takes the rest.
    if (delay_s == RetrySchedule::kMaxDelayS) continue;
    EXPECT_LE(count, 10) << delay_s;
  }
  EXPECT_EQ(callers.rbegin()->first, RetrySchedule::kMaxDelayS);
}

// Guards against urgent callers that wait behind the retries of others.
TEST(RetryScheduleTest, UrgentCallersAreNotDelayedByOthers) {
  RetrySchedule schedule;
  const Time now(Duration(1'500'000));
  for (int i = 0; i < 50; ++i) schedule.Reserve(now, 1, 0.1, 2);
  EXPECT_EQ(schedule.Reserve(now, 1, 0.1, 0), 1);
  EXPECT_GT(schedule.Reserve(now, 1, 0.1, 2), 1);
}

// Guards against delays that grow although the seconds reserved by earlier callers have passed or were never used.
TEST(RetryScheduleTest, ForgetsSecondsThatHavePassed) {
  RetrySchedule schedule;
  Time now(Duration(1'500'000));
  for (int i = 0; i < 200; ++i) schedule.Reserve(now, 1, 0.1, 1);
  now += milliseconds(11'000);
  EXPECT_EQ(schedule.Reserve(now, 1, 0.1, 1), 1);
}

// Guards against delays outside of the range for loads that cannot be computed, and for jobs larger than a second.
TEST(RetryScheduleTest, DelayStaysInRange) {
  RetrySchedule schedule;
  const Time now(Duration(1'500'000));
  EXPECT_EQ(schedule.Reserve(now, -5, 0, 1), 1);
  EXPECT_EQ(schedule.Reserve(now, std::numeric_limits<double>::infinity(), 0.1, 1), RetrySchedule::kMaxDelayS);
  EXPECT_EQ(schedule.Reserve(now, 3, 20, 1), 3) << "a job that takes 20 s on all cores";
  EXPECT_EQ(schedule.Reserve(now, 3, 20, 1), 4);
}

}  // namespace
}  // namespace jaymast
