#include <gtest/gtest.h>

#include <string>

#include "cell_testing/cell_checks.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Starts a job of 20 overlapping occurrences of 300 tasks, one a second, whose progress exceeds one row of the store.
void SubmitOverlappingOccurrences(SimulatedCluster& cluster) {
  const std::int64_t start_ms = ToMillis(cluster.queue.now().time_since_epoch()) + 1'000;
  cluster.Call(0, "POST", "scheduled",
               "tasks=300 cpu=10 ms=60000 repeat=20 interval=1000 start=" + std::to_string(start_ms));
  cluster.Run(seconds(1));
  ASSERT_EQ(cluster.LastStatus("POST scheduled"), kAccepted);
}

// Guards against progress of a scheduled job that outgrows a row of the store, which rejected every later transaction
// of the cell.
TEST(CellScheduleTest, OverlappingOccurrencesDoNotBlockOtherJobs) {
  SimulatedCluster cluster(3, 6, 32'000);
  cluster.Run(seconds(2));
  SubmitOverlappingOccurrences(cluster);
  cluster.Run(seconds(18));
  cluster.Call(0, "POST", "job1", "tasks=2 ms=300");
  cluster.Run(seconds(2));
  EXPECT_EQ(cluster.LastStatus("POST job1"), kAccepted);
  EXPECT_EQ(GetJobState(cluster, 0, "job1"), "completed");
  cluster.Run(seconds(70));
  EXPECT_EQ(GetJobState(cluster, 0, "scheduled"), "completed");
  EXPECT_EQ(cluster.history.done.size(), 6'002U);
  EXPECT_EQ(cluster.store.rejected_transactions, 0);
  ExpectNoViolation(cluster);
}

// Guards against occurrences that a new leader forgets, runs twice or starts again after their end.
TEST(CellScheduleTest, OverlappingOccurrencesSurviveTakeovers) {
  SimulatedCluster cluster(3, 6, 32'000);
  cluster.Run(seconds(2));
  SubmitOverlappingOccurrences(cluster);
  for (const std::int64_t pause_s : {12, 20, 40}) {
    cluster.Run(seconds(pause_s));
    const int leader = cluster.Leader();
    ASSERT_GE(leader, 0);
    cluster.Kill(leader);
    cluster.Run(seconds(1));
    cluster.Restart(leader);
  }
  cluster.Run(seconds(20));
  EXPECT_EQ(GetJobState(cluster, 0, "scheduled"), "completed");
  EXPECT_EQ(cluster.history.done.size(), 6'000U);
  ExpectNoViolation(cluster);
}

// Guards against a process exit, a rejected transaction or a silent client because of a schedule without a near end.
TEST(CellScheduleTest, ScheduleOfAnyLengthIsAccepted) {
  SimulatedCluster cluster(3, 2);
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "endless", "tasks=1 ms=100 repeat=9007199254740991 interval=1000");
  cluster.Call(0, "POST", "month", "tasks=1 ms=100 repeat=43200 interval=60000");
  cluster.Run(seconds(1));
  EXPECT_EQ(cluster.LastStatus("POST endless"), kAccepted);
  EXPECT_EQ(cluster.LastStatus("POST month"), kAccepted);
  cluster.Run(seconds(10));
  cluster.Kill(cluster.Leader());
  cluster.Run(seconds(10));
  EXPECT_GE(cluster.history.done.size(), 20U);
  EXPECT_EQ(cluster.store.rejected_transactions, 0);
  ExpectNoViolation(cluster);
}

// Guards against memory and transactions that grow with the number of occurrences that are due at the same time.
TEST(CellScheduleTest, ManyDueOccurrencesAreOpenedInPortions) {
  SimulatedCluster cluster(1, 4, 32'000);
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "burst", "tasks=500 cpu=10 ms=200 repeat=100 interval=0");
  cluster.Run(milliseconds(200));
  EXPECT_EQ(cluster.LastStatus("POST burst"), kAccepted);
  cluster.Run(seconds(30));
  EXPECT_EQ(GetJobState(cluster, 0, "burst"), "completed");
  EXPECT_EQ(cluster.history.done.size(), 50'000U);
  EXPECT_EQ(cluster.store.rejected_transactions, 0);
  ExpectNoViolation(cluster);
}

// Guards against a long specification that no transaction can carry, which kept all others from being committed.
TEST(CellScheduleTest, LongSpecificationIsStoredOrRefused) {
  SimulatedCluster cluster(2, 2);
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "long", "tasks=1 ms=4000 " + std::string(200'000, 'x'));
  cluster.Call(0, "POST", "too_long", "tasks=1 ms=300 " + std::string(300'000, 'x'));
  cluster.Run(seconds(1));
  EXPECT_EQ(cluster.LastStatus("POST long"), kAccepted);
  EXPECT_EQ(cluster.LastStatus("POST too_long"), kMalformed);
  cluster.Kill(cluster.Leader());
  cluster.Run(seconds(6));
  EXPECT_EQ(GetJobState(cluster, cluster.Leader(), "long"), "completed");
  EXPECT_EQ(cluster.store.rejected_transactions, 0);
  ExpectNoViolation(cluster);
}

}  // namespace
}  // namespace jaymast
