#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "cell_testing/cell_checks.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Makes the store slow for the leader and returns the leader's index.
int SlowDownLeaderStore(SimulatedCluster& cluster) {
  cluster.Run(seconds(2));
  const int leader = cluster.Leader();
  cluster.At(leader).store->fault = StoreFault::kSlow;
  return leader;
}

void SubmitSteadily(SimulatedCluster& cluster, int instance, int jobs, const std::string& body, Duration pause) {
  for (int i = 0; i < jobs; ++i) {
    cluster.Call(instance, "POST", "job" + std::to_string(i), body);
    cluster.Run(pause);
  }
}

void ExpectAllAccepted(const SimulatedCluster& cluster, int jobs) {
  for (int i = 0; i < jobs; ++i) EXPECT_EQ(cluster.LastStatus("POST job" + std::to_string(i)), kAccepted) << i;
}

void ExpectAllCompleted(SimulatedCluster& cluster, int jobs) {
  for (int i = 0; i < jobs; ++i) EXPECT_EQ(GetJobState(cluster, 0, "job" + std::to_string(i)), "completed") << i;
}

// Guards against calls that are sent into a network partition, where their outcome is unknown.
TEST(CellTakeoverTest, CallToPartitionedInstanceIsReportedAsNotRun) {
  SimulatedCluster cluster(3, 4);
  cluster.Run(seconds(2));
  const int follower = AnyFollower(cluster);
  cluster.At(follower).store->fault = StoreFault::kNoReply;
  for (int i = 0; i < 3; ++i) cluster.At(follower).unreachable.insert(cluster.At(i).address);
  cluster.Run(milliseconds(650));
  cluster.Call(follower, "POST", "job1", "tasks=1");
  cluster.Run(seconds(3));
  EXPECT_EQ(cluster.LastStatus("POST job1"), FakeClientCodec::kNotRun);
}

// Guards against two leaders that both accept jobs, and accepted jobs that are lost with the leader.
TEST(CellTakeoverTest, AcceptedJobsSurviveLeaderCrash) {
  SimulatedCluster cluster(3, 4);
  cluster.Run(seconds(2));
  const int leader = cluster.Leader();
  const int follower = AnyFollower(cluster);
  for (int i = 0; i < 8; ++i) cluster.Call(follower, "POST", "job" + std::to_string(i), "tasks=3 ms=900");
  cluster.Run(milliseconds(300));
  cluster.Kill(leader);
  cluster.Run(seconds(1));
  ASSERT_GE(cluster.Leader(), 0);
  ASSERT_NE(cluster.Leader(), leader);
  cluster.Run(seconds(4));
  for (int i = 0; i < 8; ++i) EXPECT_EQ(GetJobState(cluster, follower, "job" + std::to_string(i)), "completed") << i;
  for (const auto& [task, starts] : cluster.history.starts) EXPECT_EQ(starts, 1) << FormatTaskKey(task);
  ExpectNoViolation(cluster);
}

// Guards against waiting for the full takeover timeout when connections to the leader are refused.
TEST(CellTakeoverTest, KilledLeaderIsReplacedWithinOneSecond) {
  SimulatedCluster cluster(3, 2);
  cluster.Run(seconds(2));
  cluster.Kill(cluster.Leader());
  cluster.Run(milliseconds(1000));
  EXPECT_GE(cluster.Leader(), 0);
}

// Guards against waiting for the timeout of a leader that no longer exists after a full restart.
TEST(CellTakeoverTest, LeaderIsElectedAtOnceAfterFullRestart) {
  SimulatedCluster cluster(3, 2);
  cluster.Run(seconds(2));
  for (int i = 0; i < 3; ++i) cluster.Kill(i);
  cluster.Run(milliseconds(500));
  for (int i = 0; i < 3; ++i) cluster.Restart(i);
  cluster.Run(milliseconds(300));
  EXPECT_GE(cluster.Leader(), 0);
}

// Guards against a leader that can't write to the store but stays leader through its heartbeats.
TEST(CellTakeoverTest, LeaderWithoutStoreIsReplaced) {
  SimulatedCluster cluster(3, 2);
  cluster.Run(seconds(2));
  const int leader = cluster.Leader();
  cluster.At(leader).store->fault = StoreFault::kNoReply;
  cluster.Run(milliseconds(1500));
  EXPECT_NE(cluster.Leader(), leader);
  EXPECT_GE(cluster.Leader(), 0);
}

// Guards against clients that are kept in a partitioned failure domain: its instances reach each other, but neither the
// store nor the new leader.
TEST(CellTakeoverTest, InstancesPartitionedWithTheirLeaderAreNotReady) {
  SimulatedCluster cluster(4, 2);
  cluster.Run(seconds(2));
  const int leader = cluster.Leader();
  const int other_inside = AnyFollower(cluster);
  for (int i = 0; i < 4; ++i) {
    const bool is_inside = i == leader || i == other_inside;
    if (is_inside) cluster.At(i).store->fault = StoreFault::kNoReply;
    cluster.At(i).unreachable.insert(is_inside ? "u0" : "u1");
    for (int j = 0; j < 4; ++j) {
      if (is_inside != (j == leader || j == other_inside)) cluster.At(i).unreachable.insert(cluster.At(j).address);
    }
  }
  cluster.Run(milliseconds(2500));
  for (int i = 0; i < 4; ++i) {
    const bool is_inside = i == leader || i == other_inside;
    EXPECT_EQ(cluster.At(i).cell->is_ready(), !is_inside) << i;
    cluster.At(i).unreachable.clear();
    cluster.At(i).store->fault = StoreFault::kNone;
  }
  cluster.Run(milliseconds(1500));
  for (int i = 0; i < 4; ++i) EXPECT_TRUE(cluster.At(i).cell->is_ready()) << i;
}

// Guards against instances that report themselves as not ready because the store is slow.
TEST(CellTakeoverTest, SlowStoreKeepsInstancesReady) {
  SimulatedCluster cluster(3, 2);
  cluster.Run(seconds(2));
  for (int i = 0; i < 3; ++i) cluster.At(i).store->fault = StoreFault::kSlow;
  for (int step = 0; step < 50; ++step) {
    cluster.Run(milliseconds(100));
    for (int i = 0; i < 3; ++i) EXPECT_TRUE(cluster.At(i).cell->is_ready()) << i << " after " << step;
  }
}

// Guards against a takeover or dropped tasks during a store outage.
TEST(CellTakeoverTest, StoreOutageKeepsLeaderAndRunningTasks) {
  SimulatedCluster cluster(3, 2);
  cluster.Run(seconds(2));
  const int leader = cluster.Leader();
  cluster.Call(0, "POST", "job1", "tasks=2 ms=6000");
  cluster.Run(milliseconds(300));
  for (int i = 0; i < 3; ++i) cluster.At(i).store->fault = StoreFault::kRefusing;
  cluster.Run(seconds(5));
  EXPECT_EQ(cluster.Leader(), leader);
  cluster.Call(0, "POST", "job2", "tasks=1");
  cluster.Run(milliseconds(50));
  EXPECT_EQ(cluster.LastStatus("POST job2"), static_cast<int>(ClientOutcome::kUnavailable)) << "refused on arrival";
  for (int i = 0; i < 3; ++i) cluster.At(i).store->fault = StoreFault::kNone;
  cluster.Run(seconds(3));
  EXPECT_EQ(GetJobState(cluster, 0, "job1"), "completed");
  for (const auto& [task, starts] : cluster.history.starts) EXPECT_EQ(starts, 1) << FormatTaskKey(task);
  ExpectNoViolation(cluster);
}

// Guards against overloading a slow store, which takes 90 rows a transaction and 2.5 transactions a second.
TEST(CellTakeoverTest, SlowStoreHandlesBurstOfJobs) {
  constexpr int kJobs = 240;
  SimulatedCluster cluster(2, 12);
  const int leader = SlowDownLeaderStore(cluster);
  SubmitSteadily(cluster, leader, kJobs, "tasks=1 ms=300", milliseconds(12));
  cluster.Run(seconds(3));
  EXPECT_EQ(cluster.Leader(), leader);
  ExpectAllAccepted(cluster, kJobs);
  ExpectAllCompleted(cluster, kJobs);
}

// Guards against a low limit on the number of jobs in one transaction.
TEST(CellTakeoverTest, SlowStoreHandles200JobsPerSecond) {
  constexpr int kJobs = 800;
  SimulatedCluster cluster(2, 40);
  const int leader = SlowDownLeaderStore(cluster);
  SubmitSteadily(cluster, leader, kJobs, "tasks=1 cpu=100 ms=300", milliseconds(5));
  // Acceptance takes two transactions; assignment and end of the last job take one each.
  cluster.Run(milliseconds(800));
  ExpectAllAccepted(cluster, kJobs);
  cluster.Run(milliseconds(1700));
  EXPECT_EQ(cluster.Leader(), leader);
  ExpectAllCompleted(cluster, kJobs);
}

// Guards against a second transaction that is sent before the outcome of the first is known.
TEST(CellTakeoverTest, LostStoreRepliesAreResolved) {
  SimulatedCluster cluster(2, 2);
  cluster.Run(seconds(2));
  const int leader = cluster.Leader();
  cluster.At(leader).store->fault = StoreFault::kReplyLost;
  cluster.Call(leader, "POST", "job1", "tasks=2 ms=300");
  cluster.Run(milliseconds(500));
  cluster.At(leader).store->fault = StoreFault::kNone;
  cluster.Run(seconds(4));
  EXPECT_EQ(cluster.LastStatus("POST job1"), kAccepted);
  EXPECT_EQ(GetJobState(cluster, 0, "job1"), "completed");
  ExpectNoViolation(cluster);
}

// Guards against a deposed leader that keeps sending orders.
TEST(CellTakeoverTest, PausedLeaderIsFencedWhenItResumes) {
  SimulatedCluster cluster(3, 3);
  cluster.Run(seconds(2));
  const int leader = cluster.Leader();
  const int follower = AnyFollower(cluster);
  for (int i = 0; i < 5; ++i) cluster.Call(follower, "POST", "job" + std::to_string(i), "tasks=2 ms=2500");
  cluster.Run(milliseconds(60));
  cluster.At(leader).is_paused = true;
  cluster.Run(seconds(4));
  cluster.At(leader).is_paused = false;
  cluster.Run(seconds(6));
  EXPECT_FALSE(cluster.At(leader).cell->is_leader());
  for (int i = 0; i < 5; ++i) EXPECT_EQ(GetJobState(cluster, follower, "job" + std::to_string(i)), "completed") << i;
  ExpectNoViolation(cluster);
}

// Guards against a planned shutdown that interrupts calls or needs a timeout to replace the leader.
TEST(CellTakeoverTest, StoppingLeaderHandsOverImmediately) {
  SimulatedCluster cluster(3, 2);
  cluster.Run(seconds(2));
  const int leader = cluster.Leader();
  const int follower = AnyFollower(cluster);
  cluster.Call(follower, "POST", "job1", "tasks=2 ms=1500");
  cluster.At(leader).cell->BeginStop(cluster.queue.now() + seconds(5));
  cluster.Run(milliseconds(400));
  EXPECT_GE(cluster.Leader(), 0);
  EXPECT_NE(cluster.Leader(), leader);
  EXPECT_TRUE(cluster.At(leader).cell->can_exit());
  cluster.Run(seconds(3));
  EXPECT_EQ(GetJobState(cluster, follower, "job1"), "completed");
  for (const auto& [task, starts] : cluster.history.starts) EXPECT_EQ(starts, 1) << FormatTaskKey(task);
}

// Guards against calls that no leader can decide and that are still open when the process has to end.
TEST(CellTakeoverTest, UndecidedCallsAreAnsweredBeforeAStop) {
  SimulatedCluster cluster(3, 2);
  cluster.Run(seconds(2));
  for (const auto& instance : cluster.instances) instance->store->fault = StoreFault::kNoReply;
  cluster.Run(milliseconds(100));
  const Time answer_by = cluster.queue.now() + seconds(4);
  for (const auto& instance : cluster.instances) instance->cell->BeginStop(answer_by);
  int calls = 0;
  for (; cluster.queue.now() < answer_by + milliseconds(100); cluster.Run(milliseconds(50))) {
    for (int i = 0; i < 3; ++i) {
      cluster.Call(i, calls % 2 == 0 ? "POST" : "GET", "job" + std::to_string(calls), "tasks=1");
      ++calls;
    }
  }
  for (const auto& instance : cluster.instances) EXPECT_EQ(instance->cell->open_calls(), 0U) << instance->address;
  std::size_t answers = 0;
  for (const auto& [call, responses] : cluster.responses) answers += responses.size();
  EXPECT_EQ(answers, static_cast<std::size_t>(calls));
}

// Guards against jobs that a new leader takes as started although their upstream has refused every start.
TEST(CellTakeoverTest, RefusedStartsLeaveJobsWaiting) {
  SimulatedCluster cluster(2, 2);
  cluster.Run(seconds(2));
  cluster.start_status = [](const StartOrder& order) {
    return order.task.job == JobId("begun") ? OrderStatus::kAccepted : OrderStatus::kUnhealthy;
  };
  cluster.Call(0, "POST", "begun", "tasks=1 ms=20000");
  for (int i = 0; i < 10; ++i) cluster.Call(0, "POST", "job" + std::to_string(i), "tasks=1 cpu=1000 ms=300");
  cluster.Run(seconds(3));
  cluster.Kill(cluster.Leader());
  cluster.Run(seconds(2));
  cluster.Call(cluster.Leader(), "GET", "");
  cluster.Run(milliseconds(300));
  EXPECT_EQ(cluster.LastBody("GET "), "10");
  EXPECT_EQ(GetJobState(cluster, cluster.Leader(), "begun"), "running");
  cluster.start_status = nullptr;
  cluster.Run(seconds(5));
  cluster.Call(cluster.Leader(), "GET", "");
  cluster.Run(milliseconds(300));
  EXPECT_EQ(cluster.LastBody("GET "), "0");
}

// Guards against an accepted job that no later leader continues, or that fails after one attempt, because its queue was
// removed.
TEST(CellTakeoverTest, JobOfRemovedQueueIsContinued) {
  SimulatedCluster cluster(2, 2);
  cluster.config->queues.front().policy = PolicyConfig{20, 1, 2000};
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "job1", "tasks=2 steps=2 ms=3000");
  cluster.Run(seconds(1));
  ASSERT_EQ(cluster.LastStatus("POST job1"), kAccepted);
  const TaskKey task{JobId("job1"), 0, 0, 0};
  const std::vector<QueueConfig> queues = std::exchange(cluster.config->queues, {});
  cluster.config->version = 2;
  cluster.Run(seconds(1));
  cluster.Kill(cluster.Leader());
  cluster.Run(seconds(1));
  for (const auto& upstream : cluster.fake_upstreams) {
    if (upstream->Runs(task)) upstream->EndRun(task, EndKind::kFailed);
  }
  cluster.Run(seconds(10));
  cluster.config->queues = queues;
  cluster.config->version = 3;
  cluster.Run(seconds(1));
  EXPECT_EQ(GetJobState(cluster, cluster.Leader(), "job1"), "completed");
  ExpectNoViolation(cluster);
}

// Guards against an accepted job that a new leader cannot read because of a number outside the range of its records.
TEST(CellTakeoverTest, AcceptedAmountsAreReadByNewLeader) {
  // Admission by cause refuses jobs that all cores together could not complete in time.
  SimulatedCluster cluster(2, 2, 8000, CellOptions{{CellFeature::kAdmissionByCause}});
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "large_time", "tasks=1 ms=9000000000000000000");
  cluster.Call(0, "POST", "large_cpu", "tasks=1000 cpu=9000000000000000000");
  cluster.Call(0, "POST", "largest", "tasks=1000 cpu=1099511627776 ms=1099511627776");
  cluster.Run(seconds(1));
  EXPECT_EQ(cluster.LastStatus("POST large_time"), kMalformed);
  EXPECT_EQ(cluster.LastStatus("POST large_cpu"), kMalformed);
  EXPECT_EQ(cluster.LastStatus("POST largest"), kAccepted);
  cluster.Kill(cluster.Leader());
  cluster.Run(seconds(2));
  GetJobState(cluster, cluster.Leader(), "largest");
  EXPECT_EQ(cluster.LastStatus("GET largest"), kState);
}

// Guards against a takeover that never ends: pages that take longer than their time limit were requested again in full,
// while the commits of the new leader kept all others from taking over.
TEST(CellTakeoverTest, LargeLogIsReadOverSlowLink) {
  SimulatedCluster cluster(3, 4);
  cluster.Run(seconds(2));
  const int leader = cluster.Leader();
  constexpr int kJobs = 100;
  constexpr int kPayloadBytes = 4'000;
  // Jobs that are due later are accepted whatever the load.
  const std::string body = "tasks=1 repeat=1 start=3600000 interval=1 " + std::string(kPayloadBytes, 'x');
  SubmitSteadily(cluster, leader, kJobs, body, milliseconds(10));
  cluster.Run(seconds(1));
  ExpectAllAccepted(cluster, kJobs);
  constexpr std::int64_t kBytesPerSecond = 50'000;
  for (int i = 0; i < 3; ++i) cluster.At(i).store->scan_bytes_per_second = kBytesPerSecond;
  cluster.Kill(leader);
  // A takeover takes one second, and may take twice the time that the link needs for all records.
  const double transfer_s = double{kJobs} * kPayloadBytes / kBytesPerSecond;
  cluster.Run(seconds(1) + milliseconds(static_cast<std::int64_t>(2000 * transfer_s)));
  EXPECT_GE(cluster.Leader(), 0);
}

/// Fills the record log, makes the store's replies slow for all, and kills the leader. The next term takes over within
/// one second and needs 300 KB at `bytes_per_second` to read the records.
void KillLeaderWithLongLog(SimulatedCluster& cluster, std::int64_t bytes_per_second = 75'000) {
  cluster.Run(seconds(2));
  const int leader = cluster.Leader();
  constexpr int kJobs = 100;
  SubmitSteadily(cluster, leader, kJobs, "tasks=1 repeat=1 start=3600000 interval=1 " + std::string(3000, 'x'),
                 milliseconds(10));
  cluster.Run(seconds(1));
  ExpectAllAccepted(cluster, kJobs);
  for (const auto& instance : cluster.instances) instance->store->scan_bytes_per_second = bytes_per_second;
  cluster.Kill(leader);
}

int AnyLiveFollower(const SimulatedCluster& cluster) {
  for (std::size_t i = 0; i < cluster.instances.size(); ++i) {
    if (cluster.instances[i]->is_up && !cluster.instances[i]->cell->is_leader()) return static_cast<int>(i);
  }
  return -1;
}

// Guards against calls that a leader without its records holds until the caller has given up.
TEST(CellTakeoverTest, CallsAreRefusedEarlyWhileTheLeaderIsNotReady) {
  SimulatedCluster cluster(3, 4);
  KillLeaderWithLongLog(cluster);
  cluster.Run(milliseconds(1200));
  ASSERT_EQ(cluster.Leader(), -1);
  const int follower = AnyLiveFollower(cluster);
  cluster.Call(follower, "POST", "early", "tasks=1", "key", 3000);
  // The caller waits 3 s in total, and Retry-After is at least 1 s.
  cluster.Run(milliseconds(1300));
  EXPECT_EQ(cluster.LastStatus("POST early"), FakeClientCodec::kNotRun);
  cluster.Call(follower, "POST", "later", "tasks=1", "key", 3000);
  cluster.Run(milliseconds(20));
  EXPECT_EQ(cluster.LastStatus("POST later"), FakeClientCodec::kNotRun) << "must be refused at once";
  cluster.Run(seconds(8));
  ASSERT_GE(cluster.Leader(), 0);
  cluster.Call(follower, "POST", "early", "tasks=1");
  cluster.Run(milliseconds(300));
  EXPECT_EQ(cluster.LastStatus("POST early"), kAccepted);
}

// Guards against calls that wait for the next regular heartbeat after the leader has become ready.
TEST(CellTakeoverTest, HeldCallsAreSentWhenTheLeaderIsReady) {
  SimulatedCluster cluster(3, 4);
  cluster.Run(seconds(2));
  cluster.Kill(cluster.Leader());
  const int follower = AnyLiveFollower(cluster);
  cluster.Call(follower, "POST", "job1", "tasks=1");
  while (cluster.Leader() < 0 && ToMillis(cluster.queue.now().time_since_epoch()) < 10'000) {
    cluster.Run(milliseconds(10));
  }
  ASSERT_GE(cluster.Leader(), 0);
  cluster.Run(milliseconds(100));
  EXPECT_EQ(cluster.LastStatus("POST job1"), kAccepted);
}

/// Time until a leader is ready, at most `limit`.
Duration MeasureTimeToReadyLeader(SimulatedCluster& cluster, Duration limit) {
  const Time from = cluster.queue.now();
  while (cluster.Leader() < 0 && cluster.queue.now() - from < limit) cluster.Run(milliseconds(10));
  return cluster.queue.now() - from;
}

// Guards against a takeover that never ends because the new leader cannot read the records while others could.
TEST(CellTakeoverTest, TakeoverEndsAlthoughTwoInstancesCannotReadTheRecords) {
  SimulatedCluster cluster(4, 4);
  KillLeaderWithLongLog(cluster);
  // The first two leaders get a link on which not even one row arrives within the longest time limit.
  std::set<std::string> slowed;
  for (const auto& instance : cluster.instances) instance->store->scan_bytes_per_second = 0;
  const Time from = cluster.queue.now();
  while (cluster.Leader() < 0 && cluster.queue.now() - from < seconds(30)) {
    for (const auto& instance : cluster.instances) {
      if (!instance->is_up || !instance->cell->is_leader() || slowed.size() == 2) continue;
      instance->store->scan_bytes_per_second = 2'000;
      slowed.insert(instance->address);
    }
    cluster.Run(milliseconds(1));
  }
  ASSERT_EQ(slowed.size(), 2U);
  // One second for the election, bounds of 3 and 6 s, and half a second for each change.
  EXPECT_LT(cluster.queue.now() - from, seconds(11));
  ASSERT_GE(cluster.Leader(), 0);
  cluster.Run(milliseconds(500));
  EXPECT_EQ(cluster.At(cluster.Leader()).cell->term()->committer().committed_record().unready_terms, 0);
}

// Guards against a log that is never read because each term ends before it has read all of it.
TEST(CellTakeoverTest, LogThatIsSlowForAllIsRead) {
  SimulatedCluster cluster(3, 4);
  KillLeaderWithLongLog(cluster, 30'000);
  // The records take 10 s. The second term may take 12 s, as it makes progress.
  EXPECT_LT(MeasureTimeToReadyLeader(cluster, seconds(60)), seconds(1 + 6 + 12));
}

// Guards against terms that end, and a bound that rises, while the store replies to no one.
TEST(CellTakeoverTest, OutageDoesNotEndAnUnreadyTerm) {
  SimulatedCluster cluster(3, 4);
  KillLeaderWithLongLog(cluster);
  cluster.Run(milliseconds(1000));
  for (const auto& instance : cluster.instances) instance->store->fault = StoreFault::kNoReply;
  cluster.Run(seconds(9));
  for (const auto& instance : cluster.instances) {
    instance->store->fault = StoreFault::kNone;
    instance->store->scan_bytes_per_second = 0;
  }
  EXPECT_LT(MeasureTimeToReadyLeader(cluster, seconds(60)), seconds(3));
  EXPECT_EQ(cluster.events.Count("term.ended", "handed over"), 0);
}

}  // namespace
}  // namespace jaymast
