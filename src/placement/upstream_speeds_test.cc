#include "placement/upstream_speeds.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>
#include <vector>

namespace jaymast {
namespace {

/// Simulates runs of steps with wrong declared times on upstreams of given speeds.
class UpstreamSpeedsTest : public testing::Test {
 protected:
  static constexpr double kDeclaredMs = 1000;

  static UpstreamId IdOf(std::size_t index) { return UpstreamId("u" + std::to_string(index)); }

  /// Speeds of which every third is 1.7 and the others are 0.7.
  static std::vector<double> MixedSpeeds(std::size_t count) {
    std::vector<double> true_speeds(count, 0.7);
    for (std::size_t i = 0; i < count; i += 3) true_speeds[i] = 1.7;
    return true_speeds;
  }

  /// Runs a step on random upstreams.
  void RunStep(const std::vector<double>& true_speeds, int tasks) {
    const double error = std::exp(std::uniform_real_distribution<>(-0.9, 0.9)(m_random));
    StepRunTime step;
    for (int i = 0; i < tasks; ++i) {
      RunTask(m_random() % true_speeds.size(), true_speeds, kDeclaredMs * error, step);
    }
  }

  bool RunTask(std::size_t index, const std::vector<double>& true_speeds, double work_ms, StepRunTime& step) {
    const double noise = std::exp(std::normal_distribution<>(0, 0.15)(m_random));
    const double tail = std::uniform_real_distribution<>(0, 1)(m_random) < 0.03 ? 7 : 1;
    return speeds.Observe("s", IdOf(index), 1, {work_ms * noise * tail / true_speeds[index], 0, kDeclaredMs}, step);
  }

  UpstreamSpeeds speeds;

 private:
  std::mt19937 m_random{1};
};

// Guards against a learner that takes the error of declared times or a long task for the speed of an upstream.
TEST_F(UpstreamSpeedsTest, SeparatesFastFromSlowUpstreams) {
  const std::vector<double> true_speeds = MixedSpeeds(90);
  for (int i = 0; i < 300; ++i) RunStep(true_speeds, 3);
  speeds.Refresh();
  for (std::size_t i = 0; i < true_speeds.size(); ++i) {
    const double speed = speeds.SpeedOf(IdOf(i));
    EXPECT_EQ(speed > 1.09, true_speeds[i] > 1) << IdOf(i) << " of speed " << true_speeds[i] << ": " << speed;
  }
}

// Guards against placement by noise where all upstreams are alike.
TEST_F(UpstreamSpeedsTest, ReportsEqualUpstreamsAsEqual) {
  const std::vector<double> true_speeds(90, 1.0);
  for (int i = 0; i < 600; ++i) RunStep(true_speeds, 3);
  speeds.Refresh();
  int deviating = 0;
  for (std::size_t i = 0; i < true_speeds.size(); ++i) {
    if (std::abs(std::log(speeds.SpeedOf(IdOf(i)))) > 0.12) ++deviating;
  }
  EXPECT_LE(deviating, 4);
}

// Guards against a gain so low, or clipping so strict, that a slower upstream keeps its old speed.
TEST_F(UpstreamSpeedsTest, DetectsAChangeWithinTenRuns) {
  std::vector<double> true_speeds(30, 1.0);
  for (int i = 0; i < 400; ++i) RunStep(true_speeds, 5);
  true_speeds[7] = 0.4;
  bool has_changed = false;
  for (int i = 0; i < 10; ++i) {
    StepRunTime step;
    for (std::size_t other = 0; other < 3; ++other) RunTask(other, true_speeds, kDeclaredMs, step);
    has_changed |= RunTask(7, true_speeds, kDeclaredMs, step);
  }
  EXPECT_TRUE(has_changed);
  speeds.Refresh();
  EXPECT_LT(speeds.SpeedOf(IdOf(7)), 0.6);
  EXPECT_NEAR(speeds.SpeedOf(IdOf(20)), 1.0, 0.25);
}

// Guards against a restarted machine that keeps the speed of its predecessor, and against a speed for the unknown.
TEST_F(UpstreamSpeedsTest, NewIncarnationAndUnknownUpstreamHaveMeanSpeed) {
  const std::vector<double> true_speeds = MixedSpeeds(30);
  for (int i = 0; i < 200; ++i) RunStep(true_speeds, 3);
  StepRunTime step{std::log(kDeclaredMs), 0.01};
  speeds.Observe("s", IdOf(0), 2, {kDeclaredMs, 0, kDeclaredMs}, step);
  speeds.Refresh();
  EXPECT_NEAR(speeds.SpeedOf(IdOf(0)), 1.0, 0.2);
  EXPECT_EQ(speeds.SpeedOf(UpstreamId("never seen")), 1.0);
  // Two of three upstreams are slower than the mean.
  EXPECT_LT(speeds.LowSpeedOf("s", UpstreamId("never seen")), 0.8);
  EXPECT_EQ(speeds.LowSpeedOf("another service", UpstreamId("never seen")), 1.0);
  speeds.Forget(IdOf(1));
  speeds.Refresh();
  EXPECT_EQ(speeds.SpeedOf(IdOf(1)), 1.0);
}

// Guards against one implausible sample that makes every later estimate useless.
TEST_F(UpstreamSpeedsTest, IgnoresImplausibleRunTimes) {
  StepRunTime step;
  for (const double run_ms : {0.0, -1.0, std::numeric_limits<double>::quiet_NaN(), HUGE_VAL}) {
    speeds.Observe("s", IdOf(0), 1, {run_ms, 0, kDeclaredMs}, step);
  }
  EXPECT_EQ(speeds.known(), 0U);
  for (int i = 0; i < 50; ++i) {
    StepRunTime undeclared;
    speeds.Observe("s", IdOf(0), 1, {1000, 0, 0}, undeclared);
    speeds.Observe("s", IdOf(1), 1, {i == 20 ? 1e12 : 1000, 0, 0}, undeclared);
  }
  speeds.Refresh();
  EXPECT_NEAR(speeds.SpeedOf(IdOf(1)), 1.0, 0.2);
}

}  // namespace
}  // namespace jaymast
