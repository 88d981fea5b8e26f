#include "cell/admission_controller.h"

#include <gtest/gtest.h>

namespace jaymast {
namespace {

using std::chrono::milliseconds;

/// A cell of 1,000 cores that is full, with 500 core-seconds waiting.
AdmissionLoad FullCell() {
  AdmissionLoad load;
  load.total_cores = 1000;
  load.queued_cores = 500;
  load.queued_core_s = 500;
  load.slack_s = 1;
  load.weight = 10;
  return load;
}

// Guards against refusals while upstreams are free: a burst that waits for tickets does not wait for capacity.
TEST(AdmissionControllerTest, AdmitsBurstThatFitsIntoFreeCapacity) {
  AdmissionController admission;
  AdmissionLoad load = FullCell();
  load.queued_core_s = 5000;
  load.free_cores = 600;
  EXPECT_TRUE(admission.Decide(TeamId("a"), load, Time(Duration(1))).is_admitted);
}

// Guards against jobs that are accepted although the queue ahead of them is longer than they can wait.
TEST(AdmissionControllerTest, RefusesLateJobWithTimeToRetry) {
  AdmissionController admission;
  AdmissionLoad load = FullCell();
  EXPECT_TRUE(admission.Decide(TeamId("a"), load, Time(Duration(1))).is_admitted);
  load.queued_core_s = 4000;
  const AdmissionDecision decision = admission.Decide(TeamId("a"), load, Time(Duration(1)));
  EXPECT_FALSE(decision.is_admitted);
  EXPECT_EQ(decision.retry_after_s, 4) << "3.2 s until the expected wait is four fifths of the slack";
}

// Guards against one organisation that takes the queue capacity of all others.
TEST(AdmissionControllerTest, RefusesOrganisationBeyondItsWeightFirst) {
  AdmissionController admission;
  AdmissionLoad load = FullCell();
  load.queued_core_s = 600;
  Time now(Duration(1'000'000));
  int admitted = 0;
  for (int i = 0; i < 100; ++i) admitted += admission.Decide(TeamId("hot"), load, now).is_admitted ? 1 : 0;
  EXPECT_EQ(admitted, 20) << "burst of two seconds of its weight";
  EXPECT_TRUE(admission.Decide(TeamId("other"), load, now).is_admitted);
  now += milliseconds(500);
  EXPECT_TRUE(admission.Decide(TeamId("hot"), load, now).is_admitted) << "its token bucket has refilled";
}

// Guards against unbounded admission while no upstream is usable.
TEST(AdmissionControllerTest, RefusesAllJobsWithoutUpstreams) {
  AdmissionController admission;
  AdmissionLoad load = FullCell();
  load.total_cores = 0;
  EXPECT_FALSE(admission.Decide(TeamId("a"), load, Time(Duration(1))).is_admitted);
}

/// A job of 20 cores for 2 s that may wait for 4 s, in a full cell of 1,000 cores without a queue.
AdmissionRequest SmallJob() {
  AdmissionRequest request;
  request.needed_cores = 20;
  request.work_core_s = 40;
  request.critical_path_s = 2;
  request.slack_s = 4;
  request.useful_s = 18;
  request.weight = 10;
  request.total_cores = 1000;
  return request;
}

AdmissionDecision Decide(const AdmissionRequest& request) {
  AdmissionController admission;
  return admission.Decide(TeamId("a"), request, Time(Duration(1)));
}

// Guards against refusals while upstreams that could run the job are free, because of a queue that cannot use them.
TEST(AdmissionByCauseTest, AdmitsJobThatFitsIntoFreeCapacityWhateverTheQueue) {
  AdmissionRequest request = SmallJob();
  request.queued_core_s = 1e6;
  EXPECT_EQ(Decide(request).cause, RefusalCause::kTooLate);
  request.free_cores = 20;
  EXPECT_TRUE(Decide(request).is_admitted);
  request.claimed_cores = 500;
  request.claimed_core_s = 1000;
  EXPECT_FALSE(Decide(request).is_admitted) << "work with a ticket soon takes the free cores";
}

// Guards against jobs that wait for the queue although part of their tasks start at once, and against gangs that are
// taken for such jobs.
TEST(AdmissionByCauseTest, CountsOnlyTasksThatDoNotFitAsWaiting) {
  AdmissionRequest request = SmallJob();
  request.queued_core_s = 6000;
  request.free_cores = 10;
  EXPECT_DOUBLE_EQ(AdmissionController::WaitForCores(request), 3);
  request.is_gang = true;
  EXPECT_DOUBLE_EQ(AdmissionController::WaitForCores(request), 6);
}

// Guards against jobs that take capacity although their result will be of no use, and against refusals of late jobs
// that name another cause.
TEST(AdmissionByCauseTest, RefusesWhatCannotBeServedAndNamesTheCause) {
  AdmissionRequest request = SmallJob();
  request.can_fit = false;
  EXPECT_EQ(Decide(request).cause, RefusalCause::kNoFit);
  request = SmallJob();
  request.work_core_s = 19'000;
  EXPECT_EQ(Decide(request).cause, RefusalCause::kTooLate) << "19 s on all cores";
  request = SmallJob();
  request.queued_core_s = 4000;
  EXPECT_EQ(Decide(request).cause, RefusalCause::kCores);
  EXPECT_EQ(Decide(request).retry_after_s, 1) << "in 0.8 s the expected wait is four fifths of the slack";
  request.policy_wait_s = 5;
  EXPECT_EQ(Decide(request).cause, RefusalCause::kPolicy);
  request = SmallJob();
  request.total_cores = 0;
  EXPECT_EQ(Decide(request).cause, RefusalCause::kNoUpstream);
}

// Load pattern: urgent work takes nine tenths of a full cell as it arrives, and a job of lower priority arrives.
// Guards against jobs that are admitted because their queue is short, although it hardly drains.
TEST(AdmissionByCauseTest, QueueBehindUrgentWorkDrainsSlowly) {
  AdmissionController admission;
  Time now(Duration(1'000'000));
  AdmissionRequest urgent = SmallJob();
  urgent.work_core_s = 90;
  urgent.weight = 100;
  AdmissionRequest request = SmallJob();
  request.priority = 1;
  request.queued_core_s = 600;
  EXPECT_TRUE(admission.Decide(TeamId("a"), request, now).is_admitted);
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(100);
    EXPECT_TRUE(admission.Decide(TeamId("b"), urgent, now).is_admitted);
  }
  const AdmissionDecision decision = admission.Decide(TeamId("a"), request, now);
  EXPECT_FALSE(decision.is_admitted);
  EXPECT_NEAR(decision.wait_s, 6, 1);
  urgent.queued_core_s = 600;
  EXPECT_TRUE(admission.Decide(TeamId("b"), urgent, now).is_admitted) << "urgent work does not wait for other work";
}

// Guards against an organisation at its limit whose jobs are accepted and then wait for its own work.
TEST(AdmissionByCauseTest, CountsQueueAtTheLimitOfTheOrganisation) {
  AdmissionRequest request = SmallJob();
  request.free_cores = 20;
  request.team_wait_s = 15;
  EXPECT_TRUE(Decide(request).is_admitted);
  request.team_wait_s = 17;
  EXPECT_EQ(Decide(request).cause, RefusalCause::kTeamLimit);
  request.team_wait_s = 3;
  request.weight = 0;
  EXPECT_EQ(Decide(request).cause, RefusalCause::kNone);
  AdmissionController admission;
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(admission.Decide(TeamId("a"), request, Time(Duration(1))).is_admitted)
        << "its own queue delays no other organisation, so its weight does not matter";
  }
}

// Load pattern: one organisation sends 7.5 times its weight into a full cell, another one sends a single job.
// Guards against a burst that takes the queue capacity of the others, and against its refusal while capacity is free.
TEST(AdmissionByCauseTest, BurstBeyondTheWeightWaitsOrIsRefused) {
  AdmissionController admission;
  const Time now(Duration(1'000'000));
  AdmissionRequest request = SmallJob();
  request.queued_core_s = 600;
  int admitted = 0;
  for (int i = 0; i < 75; ++i) admitted += admission.Decide(TeamId("hot"), request, now).is_admitted ? 1 : 0;
  EXPECT_EQ(admitted, 20) << "burst of two seconds of its weight";
  EXPECT_EQ(admission.Decide(TeamId("hot"), request, now).cause, RefusalCause::kBeyondWeight);
  EXPECT_TRUE(admission.Decide(TeamId("other"), request, now).is_admitted);
  request.free_cores = 20;
  EXPECT_TRUE(admission.Decide(TeamId("hot"), request, now).is_admitted);
}

}  // namespace
}  // namespace jaymast
