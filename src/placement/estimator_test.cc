#include "placement/estimator.h"

#include <gtest/gtest.h>

#include <chrono>

#include "placement/overrun.h"
#include "placement/test_cluster.h"

namespace jaymast {
namespace {

using std::chrono::seconds;

constexpr Time kStart = TimeFromMicros(0);

/// Guards against estimates that follow a single outlier, or declared values that are wrong by 10x.
TEST(EstimatorTest, LearnsNinetiethPercentileFromWrongDeclarations) {
  Estimator estimator;
  const TaskSpec spec = TestTask("t", WorkClass::kBatch, {1'000, 1'000, 0, 1});
  EXPECT_EQ(estimator.EstimateFor(spec).run_ms, 10'000);
  EXPECT_EQ(estimator.EstimateFor(spec).size, spec.demand);
  for (int i = 1; i <= 100; ++i) estimator.Record(spec, 1'000 + i, {200, 300, 0, 1});
  estimator.Record(spec, 3'600'000, {200, 300, 0, 1});
  // The window holds runs of 1,038 to 1,100 ms and the outlier; the percentile is its 58th value of 64.
  EXPECT_EQ(estimator.EstimateFor(spec).run_ms, 1'095);
  EXPECT_EQ(estimator.EstimateFor(spec).size, (Resources{200, 300, 0, 1}));
  TaskSpec other = spec;
  other.team = TeamId("other");
  EXPECT_EQ(estimator.EstimateFor(other).run_ms, 10'000);
}

TEST(EstimatorTest, DeclaredValuesCountUntilEnoughTasksFinished) {
  Estimator estimator;
  TaskSpec spec = TestTask("t", WorkClass::kBatch, {1'000, 1'000, 0, 1});
  for (int i = 0; i < 9; ++i) estimator.Record(spec, 100, spec.demand);
  EXPECT_EQ(estimator.EstimateFor(spec).run_ms, 10'000);
  spec.declared_run_ms = 0;
  EXPECT_EQ(estimator.EstimateFor(spec).run_ms, 100);
  spec.declared_run_ms = 10'000;
  estimator.Record(spec, 100, spec.demand);
  EXPECT_EQ(estimator.EstimateFor(spec).run_ms, 100);
}

/// Guards against unbounded memory when every task has a new kind.
TEST(EstimatorTest, NumberOfKindsIsBounded) {
  Estimator estimator;
  TaskSpec spec = TestTask("t", WorkClass::kBatch, {1'000, 1'000, 0, 1});
  for (std::size_t i = 0; i < Estimator::kMaxKinds + 1; ++i) {
    spec.kind = std::to_string(i);
    for (int n = 0; n < 10; ++n) estimator.Record(spec, 1, spec.demand);
  }
  EXPECT_EQ(estimator.EstimateFor(spec).run_ms, 1);
  spec.kind = "0";
  EXPECT_EQ(estimator.EstimateFor(spec).run_ms, 10'000);
}

TEST(OverrunTest, ActionsComeInOrder) {
  const TaskSpec spec = TestTask("t", WorkClass::kBatch, {1'000, 1'000, 0, 1});
  const auto deadlines = OverrunDeadlines::ForRunTime(spec, {60'000, {}}, kStart);
  EXPECT_EQ(deadlines.ActionAt(kStart + seconds(119)), OverrunAction::kNone);
  EXPECT_EQ(deadlines.ActionAt(kStart + seconds(120)), OverrunAction::kThrottle);
  EXPECT_EQ(deadlines.ActionAt(kStart + seconds(180)), OverrunAction::kCheckpoint);
  EXPECT_EQ(deadlines.ActionAt(kStart + seconds(240)), OverrunAction::kStop);
  EXPECT_EQ(deadlines.NextAfter(kStart + seconds(120)), kStart + seconds(180));
  EXPECT_EQ(ToStopMode(deadlines.ActionAt(kStart + seconds(180))), StopMode::kCheckpoint);
  const auto usage = OverrunDeadlines::ForUsage(kStart, seconds(30));
  EXPECT_EQ(usage.ActionAt(kStart), OverrunAction::kThrottle);
  EXPECT_EQ(usage.ActionAt(kStart + seconds(60)), OverrunAction::kStop);
}

/// Guards against services, which run indefinitely, being stopped as overruns.
TEST(OverrunTest, ServicesAndUnknownRunTimesNeverOverrun) {
  const TaskSpec service = TestTask("s", WorkClass::kService, {1'000, 1'000, 0, 1});
  EXPECT_EQ(OverrunDeadlines::ForRunTime(service, {60'000, {}}, kStart).ActionAt(kStart + seconds(1'000'000)),
            OverrunAction::kNone);
  const TaskSpec batch = TestTask("b", WorkClass::kBatch, {1'000, 1'000, 0, 1});
  EXPECT_FALSE(OverrunDeadlines::ForRunTime(batch, {0, {}}, kStart).NextAfter(kStart));
}

}  // namespace
}  // namespace jaymast
