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

}  // namespace
}  // namespace jaymast
