#include "placement/run_time_model.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <random>
#include <string>

namespace jaymast {
namespace {

/// Records runs of a kind whose declared times follow the run times up to a factor.
void RecordRuns(RunTimeModel& model, const std::string& kind, double spread_of_runs, double spread_of_errors,
                double bias) {
  std::mt19937 random(1);
  const auto draw = [&random](double spread) {
    return spread * (2.0 * static_cast<double>(random()) / static_cast<double>(std::mt19937::max()) - 1.0);
  };
  for (int i = 0; i < 200; ++i) {
    const double run_ms = 1000 * std::exp(draw(spread_of_runs));
    const double tail = i % 33 == 0 ? 7 : 1;
    model.Record(kind, run_ms * bias * std::exp(draw(spread_of_errors)), run_ms * tail);
  }
}

// Guards against a model that discards declared times which are exact, or wrong by the same factor for all tasks.
TEST(RunTimeModelTest, FollowsDeclaredTimesThatCorrelate) {
  RunTimeModel model;
  RecordRuns(model, "exact", 1.0, 0.02, 1);
  RecordRuns(model, "biased", 1.0, 0.02, 2);
  for (const double run_ms : {400.0, 1000.0, 2500.0}) {
    EXPECT_NEAR(model.Predict("exact", run_ms).expected_ms, run_ms, 0.15 * run_ms);
    EXPECT_NEAR(model.Predict("biased", 2 * run_ms).expected_ms, run_ms, 0.2 * run_ms);
  }
}

// Guards against trust in declared times that say nothing about the run time.
TEST(RunTimeModelTest, FallsBackToTheMeanWhereDeclaredTimesSayNothing) {
  RunTimeModel model;
  RecordRuns(model, "random", 0.05, 0.9, 1);
  EXPECT_NEAR(model.Predict("random", 420).expected_ms, 1000, 200);
  EXPECT_NEAR(model.Predict("random", 2400).expected_ms, 1000, 200);
}

// Guards against predictions that follow the few tasks of many times the usual run time.
TEST(RunTimeModelTest, LongTailChangesNeitherMedianNorHighPercentile) {
  RunTimeModel model;
  RecordRuns(model, "tail", 0.1, 0.1, 1);
  const RunTimePrediction prediction = model.Predict("tail", 1000);
  EXPECT_NEAR(prediction.expected_ms, 1000, 120);
  EXPECT_LT(prediction.high_ms, 1300);
  EXPECT_LE(prediction.expected_ms, prediction.high_ms);
}

// Guards against predictions from a handful of tasks, and against values that make all later ones useless.
TEST(RunTimeModelTest, ReturnsTheDeclaredTimeUntilEnoughTasksHaveFinished) {
  RunTimeModel model;
  for (const double run_ms : {0.0, -5.0, std::numeric_limits<double>::quiet_NaN(), HUGE_VAL}) {
    model.Record("k", 1000, run_ms);
  }
  EXPECT_EQ(model.kinds(), 0U);
  for (std::size_t i = 0; i + 1 < RunTimeModel::kMinObservations; ++i) model.Record("k", 1000, 100);
  EXPECT_EQ(model.Predict("k", 1000).high_ms, 1000);
  model.Record("k", 1000, 100);
  EXPECT_LT(model.Predict("k", 1000).expected_ms, 250);
  EXPECT_NEAR(model.Predict("k", 0).expected_ms, 100, 1);
  EXPECT_EQ(model.Predict("other", 1000).expected_ms, 1000);
}

// Guards against unbounded memory when every task has a new kind.
TEST(RunTimeModelTest, NumberOfKindsIsBounded) {
  RunTimeModel model;
  for (std::size_t i = 0; i <= RunTimeModel::kMaxKinds; ++i) {
    for (std::size_t n = 0; n < RunTimeModel::kMinObservations; ++n) model.Record(std::to_string(i), 1000, 100);
  }
  EXPECT_EQ(model.kinds(), RunTimeModel::kMaxKinds);
  EXPECT_FALSE(model.HasEnoughObservations("0"));
  EXPECT_TRUE(model.HasEnoughObservations("1"));
  EXPECT_LT(model.MemoryBytes(), 6'000'000U);
}

}  // namespace
}  // namespace jaymast
