#include "cell/run_end_estimate.h"

#include <gtest/gtest.h>

#include "jobs/job.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kBegin{seconds(100)};

TaskState RunningTask() {
  TaskState task;
  task.phase = TaskPhase::kRunning;
  task.confirmed_at = kBegin;
  task.progressed_at = kBegin;
  task.reference = {kBegin, 0};
  return task;
}

TEST(RunEndEstimateTest, RunWithoutProgressEndsByItsExpectedRunTime) {
  EXPECT_EQ(EstimateRunEnd(RunningTask(), seconds(10), kBegin + seconds(1)), kBegin + milliseconds(11'500));
}

// Guards against waiting for an end that an estimate in the past promises.
TEST(RunEndEstimateTest, NothingIsKnownAfterTheExpectedRunTime) {
  EXPECT_EQ(EstimateRunEnd(RunningTask(), seconds(10), kBegin + seconds(12)), Time::max());
}

// Guards against trusting a declared run time that the progress of the run contradicts.
TEST(RunEndEstimateTest, ProgressDecidesOverTheExpectedRunTime) {
  TaskState task = RunningTask();
  task.percent = 10;
  task.progressed_at = kBegin + seconds(5);
  EXPECT_EQ(EstimateRunEnd(task, seconds(10), kBegin + seconds(6)), kBegin + seconds(50));
}

TEST(RunEndEstimateTest, FewPercentsDoNotDecide) {
  TaskState task = RunningTask();
  task.percent = 3;
  task.progressed_at = kBegin + seconds(1);
  EXPECT_EQ(EstimateRunEnd(task, seconds(10), kBegin + seconds(2)), kBegin + milliseconds(11'500));
}

// Guards against projecting the progress of a run that resumed from a checkpoint as if it had begun at 0.
TEST(RunEndEstimateTest, ResumedRunIsProjectedFromItsFirstReport) {
  TaskState task = RunningTask();
  task.reference = {kBegin + seconds(1), 50};
  task.percent = 60;
  task.progressed_at = kBegin + seconds(2);
  EXPECT_EQ(EstimateRunEnd(task, seconds(100), kBegin + seconds(2)), kBegin + seconds(6));
}

// Guards against expecting the end of a run whose progress has stopped.
TEST(RunEndEstimateTest, NothingIsKnownOnceProgressStops) {
  TaskState task = RunningTask();
  task.percent = 50;
  task.progressed_at = kBegin + seconds(5);
  EXPECT_EQ(EstimateRunEnd(task, seconds(8), kBegin + seconds(11)), kBegin + seconds(11));
  EXPECT_EQ(EstimateRunEnd(task, seconds(8), kBegin + seconds(13)), Time::max());
}

TEST(RunEndEstimateTest, TaskThatHasNotStartedTakesItsWholeRunTime) {
  EXPECT_EQ(EstimateRunEnd(TaskState{}, seconds(10), kBegin), kBegin + milliseconds(11'600));
}

TEST(RunEndEstimateTest, StoppedTaskEndsSoon) {
  TaskState task = RunningTask();
  task.phase = TaskPhase::kStopping;
  task.confirmed_at = Time::max();
  EXPECT_EQ(EstimateRunEnd(task, seconds(1'000), kBegin), kBegin + milliseconds(500));
}

}  // namespace
}  // namespace jaymast
