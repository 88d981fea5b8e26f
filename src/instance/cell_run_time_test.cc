#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <utility>

#include "cell_testing/cell_checks.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Scheduler& LeaderOf(SimulatedCluster& cluster) { return cluster.At(cluster.Leader()).cell->term()->scheduler(); }

// Guards against a prediction that stays at a declared time which is 2.5 times too long, and against one that depends
// on the speed of the upstreams on which the tasks happened to run.
TEST(CellRunTimeTest, RunTimesOfAQueueAreLearnedAtMeanSpeed) {
  SimulatedCluster cluster(3, 9, 4000);
  for (std::size_t i = 0; i < 9; ++i) cluster.fake_upstreams[i]->speed = i < 3 ? 1.7 : 0.7;
  cluster.Run(seconds(2));
  for (int i = 0; i < 20; ++i) {
    cluster.Call(0, "POST", "job" + std::to_string(i), "tasks=9 cpu=4000 ms=500 estimate=1250");
    cluster.Run(milliseconds(900));
  }
  EXPECT_NEAR(LeaderOf(cluster).run_times().Predict("q", 1250).expected_ms, 500, 120);
  EXPECT_EQ(LeaderOf(cluster).run_times().Predict("other", 1250).expected_ms, 1250);
  ExpectNoViolation(cluster);
}

/// Adds a queue whose jobs have the objective `stretch` x run time + `target_ms`.
void AddQueue(SimulatedCluster& cluster, const std::string& name, double stretch, std::int64_t target_ms) {
  QueueConfig queue = cluster.config->queues.front();
  queue.id = QueueId(name);
  queue.prefix = "/" + name + "/";
  queue.stretch = stretch;
  queue.target_duration_ms = target_ms;
  cluster.config->queues.push_back(std::move(queue));
}

/// Runs a job that can't be in time any more beside one that can, on one upstream that a third job uses for 2.5 s.
/// @return whether the one that could be in time was done first
bool RunsAttainableJobFirst(const CellOptions& options) {
  SimulatedCluster cluster(3, 1, 4000, options);
  AddQueue(cluster, "tight", 1.1, 0);
  AddQueue(cluster, "loose", 4, 3400);
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "tight/first", "cpu=4000 ms=2500");
  cluster.Run(milliseconds(50));
  cluster.Call(0, "POST", "tight/hopeless", "cpu=4000 ms=3000");
  cluster.Call(0, "POST", "loose/attainable", "cpu=4000 ms=300");
  cluster.Run(seconds(12));
  ExpectNoViolation(cluster);
  // A late job still runs to its end.
  EXPECT_EQ(GetJobState(cluster, 0, "tight/hopeless"), "completed");
  EXPECT_EQ(GetJobState(cluster, 0, "loose/attainable"), "completed");
  const auto done_at = [&cluster](const char* job) { return cluster.history.done_at[TaskKey{JobId(job), 0, 0, 0}]; };
  return done_at("attainable") < done_at("hopeless");
}

// Guards against an order by the clock alone, in which a job that can't be in time any more delays one that can until
// that is late too.
TEST(CellRunTimeTest, JobThatCanBeInTimeComesBeforeOneThatCannot) {
  EXPECT_TRUE(RunsAttainableJobFirst(CellOptions::AllOn()));
  CellOptions off;
  off.disabled = {CellFeature::kLearnedRunTimes};
  EXPECT_FALSE(RunsAttainableJobFirst(off));
}

}  // namespace
}  // namespace jaymast
