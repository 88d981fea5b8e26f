#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>

#include "cell_testing/cell_checks.h"
#include "cell_testing/staleness_monitor.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kInstances = 3;
constexpr int kUpstreams = 6;

class StaleFeedsTest : public testing::Test {
 protected:
  StaleFeedsTest() {
    m_monitor.AddKey("leaver");
    m_cluster.Run(seconds(2));
    m_cluster.Call(0, "POST", "job0", "tasks=1 ms=60000", "leaver");
    m_cluster.Run(seconds(1));
  }

  void StickLeaderFeeds(FeedTopic topic) { m_cluster.At(m_cluster.Leader()).stuck_topics.insert(topic); }

  void ExpectNothingStale() {
    for (const std::string& violation : m_monitor.violations) ADD_FAILURE() << violation;
    ExpectNoViolation(m_cluster);
  }

  SimulatedCluster m_cluster{kInstances, kUpstreams};
  StalenessMonitor m_monitor{m_cluster};
};

class StaleConfigurationTest : public StaleFeedsTest, public testing::WithParamInterface<const char*> {};

// Guards against calls that are answered by a configuration that nothing has proven to be current for long.
TEST_P(StaleConfigurationTest, RevokedKeyIsNotServed) {
  StickLeaderFeeds(FeedTopic::kConfiguration);
  m_monitor.RevokeKey("leaver");
  m_cluster.Run(StalenessMonitor::kConfigBound + milliseconds(50));
  for (int i = 0; i < kInstances; ++i) {
    const std::string call = GetParam();
    const std::size_t space = call.find(' ');
    m_cluster.Call(i, call.substr(0, space), call.substr(space + 1), "tasks=1", "leaver");
  }
  m_cluster.Run(seconds(4));
  ExpectNothingStale();
}

INSTANTIATE_TEST_SUITE_P(Calls, StaleConfigurationTest,
                         testing::Values("GET q/", "GET q/job0", "POST q/job0", "DELETE q/job0", "POST q/job1",
                                         "GET q/unknown"),
                         [](const testing::TestParamInfo<const char*>& call) {
                           std::string name = call.param;
                           std::replace_if(
                               name.begin(), name.end(), [](char c) { return c == ' ' || c == '/'; }, '_');
                           return name;
                         });

// Guards against callers that wait for a configuration until their deadline, although the call could be decided.
TEST_F(StaleFeedsTest, HeldCallIsAnsweredOnceTheConfigurationIsCurrentAgain) {
  const int leader = m_cluster.Leader();
  StickLeaderFeeds(FeedTopic::kConfiguration);
  m_cluster.Run(seconds(2));
  m_cluster.Call(AnyFollower(m_cluster), "GET", "q/");
  m_cluster.Run(milliseconds(300));
  m_cluster.At(leader).stuck_topics.clear();
  m_cluster.Run(milliseconds(300));
  EXPECT_EQ(m_cluster.LastStatus("GET q/"), static_cast<int>(ClientOutcome::kQueueLength));
}

// Guards against an outage in which a poll of the configuration is still open when the store is back.
TEST_F(StaleFeedsTest, RevokedKeyIsNotServedAfterOutage) {
  for (const auto& instance : m_cluster.instances) {
    instance->feed_timeout = seconds(8);
    instance->store->fault = StoreFault::kNoReply;
  }
  m_cluster.Run(seconds(11));
  for (const auto& instance : m_cluster.instances) instance->store->fault = StoreFault::kNone;
  m_cluster.Run(milliseconds(200));
  m_monitor.RevokeKey("leaver");
  for (int i = 0; i < 60; ++i) {
    m_cluster.Call(i % kInstances, "GET", i % 2 == 0 ? "q/" : "q/job0", "", "leaver", 1000);
    m_cluster.Run(milliseconds(100));
  }
  ExpectNothingStale();
}

// Guards against a process that handles a call right after a pause by the time before the pause.
TEST_F(StaleFeedsTest, RevokedKeyIsNotServedAfterPause) {
  const int leader = m_cluster.Leader();
  m_cluster.At(leader).is_paused = true;
  m_monitor.RevokeKey("leaver");
  m_cluster.Run(seconds(3));
  m_cluster.At(leader).is_paused = false;
  for (const char* job : {"q/", "q/job0"}) m_cluster.Call(leader, "GET", job, "", "leaver");
  m_cluster.Run(seconds(4));
  ExpectNothingStale();
}

// Guards against starts on an upstream that has said that it leaves, while reads of the list get no reply.
TEST_F(StaleFeedsTest, DrainingUpstreamGetsNoStarts) {
  StickLeaderFeeds(FeedTopic::kUpstreams);
  for (int i = 0; i < kUpstreams; i += 2) m_monitor.Drain(i);
  for (int i = 1; i <= 50; ++i) {
    m_cluster.Call(i % kInstances, "POST", "job" + std::to_string(i), "tasks=8 ms=300");
    m_cluster.Run(milliseconds(100));
  }
  EXPECT_GT(m_cluster.history.starts.size(), 50U) << "nothing started within the bound";
  ExpectNothingStale();
}

// Guards against starts in a failure domain that was taken out of service, while reads of that get no reply.
TEST_F(StaleFeedsTest, DomainOutOfServiceGetsNoStarts) {
  StickLeaderFeeds(FeedTopic::kDomains);
  m_monitor.TakeOutOfService(DomainId("d1"));
  for (int i = 1; i <= 80; ++i) {
    m_cluster.Call(i % kInstances, "POST", "job" + std::to_string(i), "tasks=8 ms=300");
    m_cluster.Run(milliseconds(100));
  }
  EXPECT_GT(m_cluster.history.starts.size(), 50U) << "nothing started within the bound";
  ExpectNothingStale();
}

// Guards against an instance that answers by a later version, and after a change of the leader by an earlier one.
TEST_F(StaleFeedsTest, InstanceAnswersByNoEarlierVersionAfterTakeover) {
  const int leader = m_cluster.Leader();
  const int follower = AnyFollower(m_cluster);
  const auto before = std::make_shared<CellConfig>(*m_cluster.config);
  m_monitor.RevokeKey("leaver");
  m_cluster.Run(milliseconds(200));
  m_cluster.Call(follower, "GET", "q/", "", "leaver");
  m_cluster.Run(milliseconds(100));
  ASSERT_EQ(m_cluster.LastStatus("GET q/"), kUnknownKey);
  m_cluster.Kill(leader);
  for (const auto& instance : m_cluster.instances) instance->late_config = before;
  for (int i = 0; i < 15; ++i) {
    m_cluster.Run(milliseconds(100));
    for (int j = 0; j < kInstances; ++j) m_cluster.Call(j, "GET", "q/", "", "leaver");
  }
  for (const auto& instance : m_cluster.instances) instance->late_config.reset();
  m_cluster.Run(milliseconds(300));
  ASSERT_GE(m_cluster.Leader(), 0);
  m_cluster.Call(follower, "GET", "q/", "", "leaver");
  m_cluster.Run(milliseconds(100));
  EXPECT_EQ(m_cluster.LastStatus("GET q/"), kUnknownKey);
  ExpectNothingStale();
}

// Guards against a client that makes its instance withhold calls by a header that instances send to each other.
TEST_F(StaleFeedsTest, HeaderOfAClientDoesNotDelayItsCalls) {
  int status = 0;
  HttpRequest request;
  request.method = "GET";
  request.target = "/q/";
  request.headers = {{"Key", "key"}, {"jaymast-min-config-version", "999999"}};
  m_cluster.At(AnyFollower(m_cluster)).cell->OnClientRequest(request, [&status](const HttpResponse& response) {
    status = response.status;
  });
  m_cluster.Run(milliseconds(300));
  EXPECT_EQ(status, static_cast<int>(ClientOutcome::kQueueLength));
}

// Guards against a leader that waits out the time limit of a lost transaction after the store is back.
TEST_F(StaleFeedsTest, JobIsAcceptedWithinHalfASecondAfterOutage) {
  for (const int outage_ms : {2'000, 5'300, 11'070}) {
    for (const auto& instance : m_cluster.instances) instance->store->fault = StoreFault::kNoReply;
    m_cluster.Run(milliseconds(outage_ms));
    for (const auto& instance : m_cluster.instances) instance->store->fault = StoreFault::kNone;
    for (int i = 0; i < 5; ++i) {
      m_cluster.Call(i % kInstances, "POST", fmt::format("after{}-{}", outage_ms, i), "tasks=1");
      m_cluster.Run(milliseconds(100));
    }
    int accepted = 0;
    for (int i = 0; i < 5; ++i) {
      accepted += m_cluster.LastStatus(fmt::format("POST after{}-{}", outage_ms, i)) == kAccepted ? 1 : 0;
    }
    EXPECT_GT(accepted, 0) << "after an outage of " << outage_ms << " ms";
    m_cluster.Run(seconds(5));
  }
}

// Guards against work that is assigned and given up again and again while the store is unavailable, which used up the
// memory of the leader.
TEST_F(StaleFeedsTest, MemoryOfTheLeaderIsBoundedInAnOutage) {
  constexpr int kJobs = 40;
  constexpr int kTasks = 8;
  for (int i = 1; i <= kJobs; ++i) {
    m_cluster.Call(i % kInstances, "POST", "job" + std::to_string(i), "tasks=8 ms=4000");
  }
  m_cluster.Run(milliseconds(500));
  for (const auto& instance : m_cluster.instances) instance->store->fault = StoreFault::kNoReply;
  std::size_t most_callbacks = 0;
  for (int i = 0; i < 160; ++i) {
    m_cluster.Run(milliseconds(100));
    const int leader = m_cluster.Leader();
    if (leader < 0) continue;
    const Scheduler& scheduler = m_cluster.At(leader).cell->term()->scheduler();
    most_callbacks = std::max(most_callbacks, scheduler.CountCommitCallbacks() + scheduler.postponed_starts());
  }
  // A task waits for the commit of one assignment and of one end.
  EXPECT_LE(most_callbacks, 2U * kJobs * kTasks);
  for (const auto& instance : m_cluster.instances) instance->store->fault = StoreFault::kNone;
  m_cluster.Run(seconds(60));
  for (const auto& [task, runs] : m_cluster.history.runs) EXPECT_LE(*runs.rbegin(), 10) << FormatTaskKey(task);
  int accepted = 0;
  for (int i = 1; i <= kJobs; ++i) {
    const std::string job = "job" + std::to_string(i);
    if (m_cluster.LastStatus("POST " + job) != kAccepted) continue;
    ++accepted;
    EXPECT_EQ(GetJobState(m_cluster, 0, job), "completed") << i;
  }
  EXPECT_GT(accepted, kJobs / 2);
  ExpectNothingStale();
}

}  // namespace
}  // namespace jaymast
