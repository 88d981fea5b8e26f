#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

#include "cell_testing/cell_checks.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kInstances = 3;
constexpr int kUpstreams = 4;
constexpr const char* kLastingJob = "tasks=1 lasts";

bool IsCancelAcknowledged(const SimulatedCluster& cluster, const std::string& job) {
  const int status = cluster.LastStatus("DELETE " + job);
  return status == kCancelled || status == kNoSuchJob;
}

/// Cancels that are decided before the submission of their job arrives.
class EarlyCancelTest : public testing::Test {
 protected:
  EarlyCancelTest() { m_cluster.Run(seconds(2)); }

  /// Cancels a job that has not been submitted.
  void CancelUnknownJob(const std::string& job, const std::string& key = "key") {
    m_cluster.Call(AnyFollower(m_cluster), "DELETE", job, "", key);
    m_cluster.Run(milliseconds(300));
    ASSERT_EQ(m_cluster.LastStatus("DELETE " + job), kNoSuchJob);
  }

  void ReplaceLeader() {
    const int leader = m_cluster.Leader();
    m_cluster.Kill(leader);
    m_cluster.Run(seconds(2));
    m_cluster.Restart(leader);
    m_cluster.Run(seconds(1));
    ASSERT_GE(m_cluster.Leader(), 0);
  }

  int StartsOf(const std::string& job) const {
    int starts = 0;
    for (const auto& [task, count] : m_cluster.history.starts) starts += task.job == JobId(job) ? count : 0;
    return starts;
  }

  /// Submits a cancelled job, and expects that it is stored as cancelled and does not run.
  void ExpectSubmissionIsCancelled(const std::string& job, const std::string& payload = kLastingJob) {
    m_cluster.Call(AnyFollower(m_cluster), "POST", job, payload);
    m_cluster.Run(seconds(2));
    EXPECT_EQ(m_cluster.LastStatus("POST " + job), kAccepted);
    EXPECT_EQ(GetJobState(m_cluster, 0, job), "cancelled");
    EXPECT_EQ(StartsOf(job), 0);
  }

  SimulatedCluster m_cluster{kInstances, kUpstreams};
};

// Guards against a job that runs after its cancel was acknowledged, as the submission arrived after the cancel.
TEST_F(EarlyCancelTest, SubmissionThatArrivesAfterItsCancelDoesNotRun) {
  const std::vector<std::string> payloads = {kLastingJob, "tasks=2", "tasks=3 gang", "tasks=1 steps=3",
                                             "tasks=1 repeat=3 interval=500"};
  for (std::size_t i = 0; i < payloads.size(); ++i) {
    const std::string job = "job" + std::to_string(i);
    CancelUnknownJob(job);
    ExpectSubmissionIsCancelled(job, payloads[i]);
  }
  ExpectNoViolation(m_cluster);
}

// Guards against a copy of a cancelled submission that gets another response than the submission, or that runs.
TEST_F(EarlyCancelTest, CopiesOfCancelledSubmissionGetTheSameResponse) {
  CancelUnknownJob("job");
  ExpectSubmissionIsCancelled("job");
  ExpectSubmissionIsCancelled("job");
  ReplaceLeader();
  ExpectSubmissionIsCancelled("job");
  m_cluster.Call(0, "DELETE", "job");
  m_cluster.Run(milliseconds(300));
  EXPECT_EQ(m_cluster.LastStatus("DELETE job"), kCancelled) << "the job is known by now";
}

// Guards against a cancel that is forgotten with the leader that has acknowledged it.
TEST_F(EarlyCancelTest, CancelHoldsAfterChangeOfLeader) {
  CancelUnknownJob("job");
  ReplaceLeader();
  ExpectSubmissionIsCancelled("job");
  ReplaceLeader();
  EXPECT_EQ(GetJobState(m_cluster, 0, "job"), "cancelled");
  EXPECT_EQ(StartsOf("job"), 0);
  ExpectNoViolation(m_cluster);
}

// Guards against a cancel that is forgotten when all processes end at the same time.
TEST_F(EarlyCancelTest, CancelHoldsAfterRestartOfAllInstances) {
  CancelUnknownJob("job");
  for (int i = 0; i < kInstances; ++i) m_cluster.Kill(i);
  for (int i = 0; i < kInstances; ++i) m_cluster.Restart(i);
  m_cluster.Run(seconds(2));
  ExpectSubmissionIsCancelled("job");
}

// Guards against clients that leave while there is no leader: their cancels are sent to the next leader at once, while
// their submissions wait there or at another instance.
TEST_F(EarlyCancelTest, ClientsThatLeaveWithoutLeaderCancelTheirJobs) {
  constexpr int kJobs = 60;
  m_cluster.Kill(m_cluster.Leader());
  for (int i = 0; i < kJobs; ++i) {
    m_cluster.Call(i % kInstances, "POST", "job" + std::to_string(i), kLastingJob);
  }
  m_cluster.Run(milliseconds(300));
  for (int i = 0; i < kJobs; ++i) {
    const int instance = i < kJobs / 2 ? i % kInstances : (i + 1) % kInstances;
    m_cluster.Call(instance, "DELETE", "job" + std::to_string(i));
  }
  m_cluster.Run(seconds(6));
  int acknowledged = 0;
  for (int i = 0; i < kJobs; ++i) {
    const std::string job = "job" + std::to_string(i);
    if (!IsCancelAcknowledged(m_cluster, job)) continue;
    ++acknowledged;
    EXPECT_EQ((m_cluster.history.running[TaskKey{JobId(job), 0, 0, 0}]), 0) << job;
  }
  EXPECT_GT(acknowledged, kJobs / 4);
  ExpectNoViolation(m_cluster);
}

// Guards against a leader that acknowledges a cancel after it was replaced: its successor would not know of it.
TEST_F(EarlyCancelTest, LeaderWithoutStoreAcknowledgesNoCancel) {
  const int leader = m_cluster.Leader();
  m_cluster.At(leader).store->fault = StoreFault::kNoReply;
  m_cluster.Run(milliseconds(100));
  m_cluster.Call(leader, "DELETE", "job");
  m_cluster.Run(milliseconds(700));
  EXPECT_EQ(m_cluster.LastStatus("DELETE job"), -1) << "the store does not know of the cancel";
  m_cluster.Run(milliseconds(500));
  m_cluster.At(leader).store->fault = StoreFault::kNone;
  m_cluster.Run(seconds(1));
  ASSERT_NE(m_cluster.Leader(), leader);
  EXPECT_EQ(m_cluster.LastStatus("DELETE job"), kNoSuchJob) << "acknowledged by the next leader";
  ExpectSubmissionIsCancelled("job");
}

// Guards against a state that is shown for a job that nobody has submitted.
TEST_F(EarlyCancelTest, CancelledJobIsUnknownUntilItIsSubmitted) {
  CancelUnknownJob("job");
  m_cluster.Call(0, "GET", "job");
  m_cluster.Run(milliseconds(300));
  EXPECT_EQ(m_cluster.LastStatus("GET job"), kNoSuchJob);
}

// Guards against a cancel that keeps a job of the same id of another organisation, or on another queue, from running.
TEST_F(EarlyCancelTest, OtherOrganisationsAndQueuesAreNotAffected) {
  auto config = std::make_shared<CellConfig>(*m_cluster.config);
  ++config->version;
  config->teams[TeamId("other")] = TeamConfig{TeamId("other"), 1000, {}};
  config->team_of_key["other key"] = TeamId("other");
  QueueConfig queue = config->queues.front();
  queue.id = QueueId("p");
  queue.prefix = "/p/";
  config->queues.push_back(queue);
  m_cluster.config = config;
  m_cluster.Run(seconds(1));
  CancelUnknownJob("job1");
  CancelUnknownJob("job2");
  m_cluster.Call(0, "POST", "job1", "tasks=1", "other key");
  m_cluster.Call(0, "POST", "p/job2", "tasks=1");
  m_cluster.Run(seconds(3));
  EXPECT_EQ(StartsOf("job1"), 1);
  EXPECT_EQ(StartsOf("job2"), 1);
}

// Guards against an id that can never be used again, and against records that are never removed.
TEST_F(EarlyCancelTest, CancelIsForgottenOnceNoSubmissionCanBeOnItsWay) {
  CancelUnknownJob("job");
  m_cluster.Run(EarlyCancels::kRetention - seconds(1));
  ReplaceLeader();
  ExpectSubmissionIsCancelled("job");
  CancelUnknownJob("unused");
  m_cluster.Run(EarlyCancels::kRetention + EarlyCancels::kRowSpan + seconds(1));
  EXPECT_EQ(m_cluster.store.Read(kEarlyCancelTable, "", "", 100).rows.size(), 0U);
  m_cluster.Call(0, "POST", "unused", "tasks=1");
  m_cluster.Run(seconds(3));
  EXPECT_EQ(StartsOf("unused"), 1);
}

// Guards against transactions for cancels that change nothing.
TEST_F(EarlyCancelTest, RepeatedCancelIsNotWrittenAgain) {
  CancelUnknownJob("job");
  const int writes = m_cluster.store.writes;
  for (int i = 0; i < 500; ++i) {
    m_cluster.Call(i % kInstances, "DELETE", "job");
    m_cluster.Run(milliseconds(4));
  }
  m_cluster.Run(seconds(1));
  EXPECT_EQ(m_cluster.responses["DELETE job"].size(), 501U);
  EXPECT_EQ(m_cluster.LastStatus("DELETE job"), kNoSuchJob);
  EXPECT_LE(m_cluster.store.writes - writes, 2);
}

// Guards against memory and rows that grow with cancels of ids that nobody submits, and against a scan by one
// organisation that keeps the others from cancelling.
TEST_F(EarlyCancelTest, ScanOfUnknownJobsIsBounded) {
  constexpr int kIds = 20'000;
  auto config = std::make_shared<CellConfig>(*m_cluster.config);
  ++config->version;
  config->teams[TeamId("scanner")] = TeamConfig{TeamId("scanner"), 1, {}};
  config->team_of_key["scanner key"] = TeamId("scanner");
  m_cluster.config = config;
  m_cluster.Run(seconds(1));
  for (int i = 0; i < kIds; ++i) {
    m_cluster.Call(m_cluster.Leader(), "DELETE", "scan" + std::to_string(i), "", "scanner key");
    if (i % 50 == 0) m_cluster.Run(milliseconds(10));
  }
  m_cluster.Run(milliseconds(500));
  std::size_t bytes = 0;
  for (const StateRow& row : m_cluster.store.Read(kEarlyCancelTable, "", "", 100).rows) bytes += row.value.size();
  EXPECT_GT(bytes, 0U);
  EXPECT_LE(bytes, EarlyCancels::kMaxTeamBytes + EarlyCancels::kRowBytes);
  EXPECT_EQ(m_cluster.store.rejected_transactions, 0);
  CancelUnknownJob("job");
  ExpectSubmissionIsCancelled("job");
  int kept = 0;
  int refused = 0;
  for (int i = 0; i < kIds; ++i) {
    const std::string job = "scan" + std::to_string(i);
    const int status = m_cluster.LastStatus("DELETE " + job);
    kept += status == kNoSuchJob ? 1 : 0;
    if (status != static_cast<int>(ClientOutcome::kOverloaded)) continue;
    ++refused;
    EXPECT_FALSE(FindHeader(m_cluster.responses["DELETE " + job].back().headers, "Retry-After").empty());
  }
  EXPECT_EQ(kept + refused, kIds);
  EXPECT_GT(kept, 100);
  // Each acknowledged one holds, also the first and the last one.
  std::vector<std::string> submitted;
  for (int i = 0; i < kIds && submitted.size() < 50; i += kept / 50) {
    const std::string job = "scan" + std::to_string(i);
    if (m_cluster.LastStatus("DELETE " + job) != kNoSuchJob) continue;
    submitted.push_back(job);
    m_cluster.Call(0, "POST", job, kLastingJob, "scanner key");
  }
  m_cluster.Run(seconds(2));
  EXPECT_GT(submitted.size(), 20U);
  for (const std::string& job : submitted) EXPECT_EQ(StartsOf(job), 0) << job;
}

/// Clients that submit and cancel at any instance, with kills, pauses and partitions that the seed determines.
class CancelScheduleTest : public testing::TestWithParam<unsigned> {
 protected:
  int Pick(int bound) { return static_cast<int>(m_random() % static_cast<unsigned>(bound)); }

  void Disturb() {
    const int index = Pick(kInstances);
    SimulatedCluster::Instance& instance = m_cluster.At(index);
    const Duration length = milliseconds(300 + Pick(2'500));
    switch (Pick(6)) {
      case 0:
        if (!instance.is_up) break;
        m_cluster.Kill(index);
        m_cluster.queue.After(length, [this, index] { m_cluster.Restart(index); });
        break;
      case 1:
        instance.is_paused = true;
        m_cluster.queue.After(length, [&instance] { instance.is_paused = false; });
        break;
      case 2:
        instance.store->fault = static_cast<StoreFault>(1 + Pick(5));
        m_cluster.queue.After(length, [&instance] { instance.store->fault = StoreFault::kNone; });
        break;
      case 3:
        instance.unreachable.insert("i" + std::to_string(Pick(kInstances)));
        m_cluster.queue.After(length, [&instance] { instance.unreachable.clear(); });
        break;
      default:
        break;
    }
  }

  /// A client that submits a job, leaves, and cancels it. A copy of the submission may arrive later.
  void SubmitAndCancel(const std::string& job) {
    const std::string payload = Pick(2) == 0 ? kLastingJob : "tasks=3 ms=20000";
    m_cluster.Call(Pick(kInstances), "POST", job, payload);
    m_cluster.queue.After(milliseconds(Pick(600)), [this, job] { m_cluster.Call(Pick(kInstances), "DELETE", job); });
    if (Pick(3) > 0) return;
    m_cluster.queue.After(milliseconds(500 + Pick(9'000)),
                          [this, job, payload] { m_cluster.Call(Pick(kInstances), "POST", job, payload); });
  }

  SimulatedCluster m_cluster{kInstances, kUpstreams, 64'000};
  std::mt19937 m_random{GetParam()};
};

// Guards against jobs that run after an acknowledged cancel, in any order in which the calls reach the leaders.
TEST_P(CancelScheduleTest, AcknowledgedCancelsHold) {
  constexpr int kJobs = 80;
  m_cluster.drops_start_reply = [this](const StartOrder&) { return Pick(20) == 0; };
  m_cluster.start_delay = [this](const StartOrder&) {
    return Pick(20) == 0 ? Duration(milliseconds(2'000 + Pick(6'000))) : Duration::zero();
  };
  m_cluster.Run(seconds(2));
  for (int i = 0; i < kJobs; ++i) {
    SubmitAndCancel("job" + std::to_string(i));
    if (Pick(3) == 0) Disturb();
    m_cluster.Run(milliseconds(Pick(300)));
  }
  m_cluster.Run(seconds(30));
  ASSERT_GE(m_cluster.Leader(), 0);
  int acknowledged = 0;
  for (int i = 0; i < kJobs; ++i) {
    const std::string job = "job" + std::to_string(i);
    if (!IsCancelAcknowledged(m_cluster, job)) continue;
    ++acknowledged;
    for (std::size_t task = 0; task < 3; ++task) {
      EXPECT_EQ((m_cluster.history.running[TaskKey{JobId(job), 0, 0, task}]), 0) << job;
    }
    const std::string state = GetJobState(m_cluster, m_cluster.Leader(), job);
    const bool is_unknown = m_cluster.LastStatus("GET " + job) == kNoSuchJob;
    EXPECT_TRUE(is_unknown || state == "cancelled" || state == "completed") << job << " " << state;
  }
  EXPECT_GT(acknowledged, 0);
  ExpectNoViolation(m_cluster);
}

INSTANTIATE_TEST_SUITE_P(Seeds, CancelScheduleTest, testing::Range(1U, 41U));

}  // namespace
}  // namespace jaymast
