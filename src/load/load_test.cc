#include <gtest/gtest.h>

#include <string>

#include "load/answer_check.h"
#include "load/arrival_schedule.h"
#include "load/load_report.h"
#include "standin/task_profile.h"

namespace jaymast {
namespace {

TEST(ArrivalScheduleTest, SeedFixesAnOrderedScheduleOfTheRate) {
  const StreamRates rates = {1000, 0, 100};
  const std::vector<Arrival> schedule = MakeSchedule(rates, std::chrono::seconds(10), 7);
  const std::vector<Arrival> again = MakeSchedule(rates, std::chrono::seconds(10), 7);
  ASSERT_EQ(schedule.size(), again.size());
  EXPECT_NEAR(static_cast<double>(schedule.size()), 11'000, 500);
  for (std::size_t i = 1; i < schedule.size(); ++i) {
    ASSERT_LE(schedule[i - 1].at, schedule[i].at);
    ASSERT_EQ(schedule[i].at, again[i].at);
    ASSERT_NE(schedule[i].stream, WorkStream::kSubmission);
  }
}

// Guards against an answer that is cut, or is the answer to another request, and is counted as good.
TEST(AnswerCheckTest, OnlyTheWholeOutputOfTheOwnBodyIsGood) {
  const std::string body = MakeBody("r1", WorkStream::kPreview, 1, 0, 8);
  const std::string other = MakeBody("r1", WorkStream::kPreview, 2, 0, 8);
  const std::string output = TaskOutput(TaskId("e1-v1"), body);
  EXPECT_TRUE(IsOwnWholeOutput(output, body));
  EXPECT_FALSE(IsOwnWholeOutput(output, other));
  EXPECT_FALSE(IsOwnWholeOutput(output.substr(0, output.size() - 1), body));
  EXPECT_FALSE(IsOwnWholeOutput(output.substr(1), body));
  EXPECT_FALSE(IsOwnWholeOutput("", body));
}

TEST(LoadReportTest, QuantilesAreWithinOnePercent) {
  LoadReport report;
  for (int i = 1; i <= 1000; ++i) report.Of(WorkStream::kPreview).latency.Add(Duration(1000 + i));
  for (int i = 1; i <= 1000; ++i) report.Of(WorkStream::kBaseline).latency.Add(Duration(500));
  EXPECT_NEAR(report.Of(WorkStream::kPreview).latency.QuantileMicros(0.5), 1500, 16);
  EXPECT_NEAR(report.Of(WorkStream::kPreview).latency.QuantileMicros(0.99), 1990, 21);
  EXPECT_NEAR(report.AddedMicros(0.5), 1000, 22);
}

}  // namespace
}  // namespace jaymast
