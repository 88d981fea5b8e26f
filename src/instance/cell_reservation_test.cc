#include <gtest/gtest.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "cell_testing/cell_checks.h"
#include "cell_testing/progress_monitor.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Four upstreams with 8 cores each. The queue "low" has a lower priority than "q". A gang over all upstreams waits for
/// the end of one order.
class ReservationTest : public testing::Test {
 protected:
  static constexpr int kUpstreams = 4;
  static constexpr const char* kGang = "tasks=4 cpu=5000 ms=30000 gang";

  explicit ReservationTest(int instances = 1) : m_cluster(instances, kUpstreams) {
    QueueConfig low = m_cluster.config->queues.front();
    low.id = QueueId("low");
    low.prefix = "/low/";
    low.priority = 1;
    m_cluster.config->queues.push_back(low);
    m_cluster.config->teams[TeamId("other")] = TeamConfig{TeamId("other"), 1000, {}};
    m_cluster.config->team_of_key["other"] = TeamId("other");
    m_cluster.Run(seconds(2));
    m_monitor = std::make_unique<ProgressMonitor>(m_cluster);
  }

  /// Submits the order and the gang that waits for it, and runs until capacity is reserved for the gang.
  void SubmitOrderAndGang(const std::string& order, const std::string& gang = kGang) {
    m_cluster.Call(0, "POST", "order", order);
    m_cluster.Run(milliseconds(500));
    m_gang_submitted_at = m_cluster.queue.now();
    m_cluster.Call(0, "POST", "gang", gang);
    m_cluster.Run(seconds(4));
    ASSERT_EQ(CountStarts("gang"), 0);
  }

  void SubmitLow(const std::string& job, const std::string& payload) {
    m_cluster.Call(0, "POST", "low/" + job, payload, "other");
  }

  int CountStarts(const std::string& job) const {
    int starts = 0;
    for (const auto& [task, count] : m_cluster.history.starts) starts += task.job == JobId(job) ? count : 0;
    return starts;
  }

  int CountDone(const std::string& job) const {
    int done = 0;
    for (const auto& [task, count] : m_cluster.history.done) done += task.job == JobId(job) ? count : 0;
    return done;
  }

  /// Runs until a condition holds, for `limit` at most.
  /// @return the time that it took
  Duration RunUntil(const std::function<bool()>& condition, Duration limit) {
    const Time began_at = m_cluster.queue.now();
    while (!condition() && m_cluster.queue.now() - began_at < limit) m_cluster.Run(milliseconds(20));
    return m_cluster.queue.now() - began_at;
  }

  void ExpectProgress() const {
    for (const std::string& violation : m_monitor->violations) ADD_FAILURE() << violation;
    ExpectNoViolation(m_cluster);
  }

  SimulatedCluster m_cluster;
  std::unique_ptr<ProgressMonitor> m_monitor;
  Time m_gang_submitted_at{};
};

// Guards against idle capacity that is kept for a gang for as long as an order takes that it waits for.
TEST_F(ReservationTest, JobsRunWhileGangWaitsForOrderThatTakesLongerThanDeclared) {
  SubmitOrderAndGang("cpu=5000 ms=48000 estimate=6000");
  for (int i = 0; i < 3; ++i) SubmitLow("job" + std::to_string(i), "cpu=1000 ms=6000");
  m_cluster.Run(seconds(17));
  for (int i = 0; i < 3; ++i) EXPECT_EQ(CountDone("job" + std::to_string(i)), 1) << i;
  ExpectProgress();
}

// Guards against the same if the estimate of the order is right and the jobs don't fit beside a member of the gang.
TEST_F(ReservationTest, LargeJobsRunWhileGangWaitsForOrderOfDeclaredLength) {
  SubmitOrderAndGang("cpu=5000 ms=48000");
  for (int i = 0; i < 3; ++i) SubmitLow("job" + std::to_string(i), "cpu=4000 ms=6000");
  m_cluster.Run(seconds(17));
  for (int i = 0; i < 3; ++i) EXPECT_EQ(CountDone("job" + std::to_string(i)), 1) << i;
  ExpectProgress();
}

// Guards against refusals of later work while capacity is idle for a gang.
TEST_F(ReservationTest, StreamOfJobsIsAcceptedAndRunsWhileGangWaits) {
  SubmitOrderAndGang("cpu=5000 ms=48000 estimate=6000");
  for (int i = 0; i < 40; ++i) {
    SubmitLow("job" + std::to_string(i), "cpu=2000 ms=2000");
    m_cluster.Run(milliseconds(400));
    EXPECT_EQ(m_cluster.LastStatus("POST low/job" + std::to_string(i)), kAccepted) << i;
  }
  m_cluster.Run(seconds(3));
  for (int i = 0; i < 40; ++i) EXPECT_EQ(CountDone("job" + std::to_string(i)), 1) << i;
  ExpectProgress();
}

// Guards against a gang that has to wait for the end of work that was started in its reserved capacity.
TEST_F(ReservationTest, GangStartsWhenItsOrderEndsAlthoughItsCapacityIsUsed) {
  SubmitOrderAndGang("cpu=5000 ms=12000");
  for (int i = 0; i < 3; ++i) SubmitLow("job" + std::to_string(i), "cpu=4000 ms=40000");
  m_cluster.Run(seconds(1));
  EXPECT_EQ(CountStarts("job0") + CountStarts("job1") + CountStarts("job2"), 3);
  RunUntil([this] { return CountDone("order") == 1; }, seconds(12));
  EXPECT_LE(RunUntil([this] { return CountStarts("gang") == 4; }, seconds(5)), milliseconds(500));
  RunUntil([this] { return CountDone("job0") + CountDone("job1") + CountDone("job2") == 3; }, seconds(90));
  EXPECT_EQ(CountDone("gang"), 4);
  EXPECT_EQ(CountDone("job0") + CountDone("job1") + CountDone("job2"), 3);
  ExpectProgress();
}

// Guards against stopping work that fits beside the members of the gang.
TEST_F(ReservationTest, JobsBesideTheMembersAreNotStopped) {
  SubmitOrderAndGang("cpu=5000 ms=12000");
  for (int i = 0; i < 8; ++i) SubmitLow("job" + std::to_string(i), "cpu=1000 ms=40000");
  RunUntil([this] { return CountStarts("gang") == 4; }, seconds(15));
  m_cluster.Run(seconds(1));
  EXPECT_EQ(CountStarts("gang"), 4);
  for (int i = 0; i < 8; ++i) EXPECT_EQ(CountStarts("job" + std::to_string(i)), 1) << i;
  ExpectProgress();
}

// Guards against starting work just before the gang starts, only to stop it again.
TEST_F(ReservationTest, LongJobWaitsForGangThatIsAboutToStart) {
  SubmitOrderAndGang("cpu=5000 ms=5800");
  SubmitLow("job", "cpu=4000 ms=40000");
  RunUntil([this] { return CountStarts("gang") == 4; }, seconds(3));
  EXPECT_EQ(CountStarts("gang"), 4);
  EXPECT_EQ(CountStarts("job"), 0);
  ExpectProgress();
}

// Guards against stopping a long-running task for a gang, and against keeping it down for one.
TEST_F(ReservationTest, LongRunningTasksStartAndAreNotStopped) {
  SubmitOrderAndGang("cpu=5000 ms=12000");
  SubmitLow("service", "tasks=2 cpu=4000 lasts");
  m_cluster.Run(seconds(3));
  EXPECT_EQ(CountStarts("service"), 2);
  m_cluster.Run(seconds(12));
  EXPECT_EQ(CountStarts("service"), 2);
  ExpectProgress();
}

// Guards against capacity that stays reserved for a gang that has been cancelled.
TEST_F(ReservationTest, CancelledGangStopsNoJobs) {
  SubmitOrderAndGang("cpu=5000 ms=12000");
  for (int i = 0; i < 3; ++i) SubmitLow("job" + std::to_string(i), "cpu=4000 ms=20000");
  m_cluster.Run(seconds(1));
  m_cluster.Call(0, "DELETE", "gang");
  m_cluster.Run(seconds(24));
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(CountStarts("job" + std::to_string(i)), 1) << i;
    EXPECT_EQ(CountDone("job" + std::to_string(i)), 1) << i;
  }
  ExpectProgress();
}

// Guards against stopping jobs again and again for a gang that can't start.
TEST_F(ReservationTest, GangWhoseStartsAreRefusedStopsJobsRarely) {
  SubmitOrderAndGang("cpu=5000 ms=8000");
  m_cluster.start_status = [](const StartOrder& order) {
    return order.task.job == JobId("gang") ? OrderStatus::kUnhealthy : OrderStatus::kAccepted;
  };
  for (int i = 0; i < 3; ++i) SubmitLow("job" + std::to_string(i), "cpu=4000 ms=60000");
  m_cluster.Run(seconds(24));
  EXPECT_LE(CountStarts("job0") + CountStarts("job1") + CountStarts("job2"), 9);
  ExpectNoViolation(m_cluster);
}

class ReservationTakeoverTest : public ReservationTest {
 protected:
  ReservationTakeoverTest() : ReservationTest(3) {}
};

// Guards against a gang that never starts, or a job that is lost, after a takeover beside jobs in reserved capacity.
TEST_F(ReservationTakeoverTest, GangAndJobsEnd) {
  const int leader = m_cluster.Leader();
  ASSERT_GE(leader, 0);
  SubmitOrderAndGang("cpu=5000 ms=12000", "tasks=4 cpu=5000 ms=5000 gang");
  for (int i = 0; i < 3; ++i) SubmitLow("job" + std::to_string(i), "cpu=4000 ms=9000");
  m_cluster.Run(seconds(1));
  m_cluster.Kill(leader);
  m_cluster.Run(seconds(60));
  EXPECT_EQ(CountDone("gang"), 4);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(CountDone("job" + std::to_string(i)), 1) << i;
  ExpectNoViolation(m_cluster);
}

/// Small jobs that arrive without end while a gang needs whole upstreams.
struct JobStream {
  std::string name;
  std::int64_t run_ms = 0;
  std::int64_t estimate_ms = 0;
};

class GangBesideStreamTest : public ReservationTest, public testing::WithParamInterface<JobStream> {};

// Guards against a gang that never starts beside a stream of small jobs.
TEST_P(GangBesideStreamTest, GangStartsOnceEarlierJobsHaveEnded) {
  const JobStream& stream = GetParam();
  const std::string payload =
      "cpu=1000 ms=" + std::to_string(stream.run_ms) + " estimate=" + std::to_string(stream.estimate_ms);
  const Duration interval = milliseconds(stream.run_ms) / (kUpstreams * 8);
  int jobs = 0;
  const auto submit_for = [&](Duration time, const std::function<bool()>& is_done) {
    const Time until = m_cluster.queue.now() + time;
    while (m_cluster.queue.now() < until && !is_done()) {
      SubmitLow("job" + std::to_string(jobs++), payload);
      m_cluster.Run(interval);
    }
  };
  submit_for(milliseconds(stream.run_ms), [] { return false; });
  m_gang_submitted_at = m_cluster.queue.now();
  m_cluster.Call(0, "POST", "gang", "tasks=4 cpu=8000 ms=30000 gang");
  submit_for(seconds(120), [this] { return CountStarts("gang") == 4; });
  const Duration wait = m_cluster.queue.now() - m_gang_submitted_at;
  RecordProperty("wait_ms", static_cast<int>(ToMillis(wait)));
  std::cout << stream.name << ": the gang waited " << ToMillis(wait) << " ms beside " << jobs << " jobs\n";
  EXPECT_EQ(CountStarts("gang"), 4);
  // Jobs that started before capacity was reserved, 1.5 s after the acceptance of the gang, run to their end.
  EXPECT_LE(wait, milliseconds(1'500) + milliseconds(stream.run_ms) + seconds(1));
  ExpectNoViolation(m_cluster);
}

INSTANTIATE_TEST_SUITE_P(Streams, GangBesideStreamTest,
                         testing::Values(JobStream{"Short", 2'000, 2'000}, JobStream{"AsLongAsTheGang", 30'000, 30'000},
                                         JobStream{"LongerThanDeclared", 24'000, 3'000}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace jaymast
