#include <gtest/gtest.h>

#include "cell_testing/cell_checks.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kClientTimeoutMs = 300;

/// A leader that is paused while a follower relays calls to it, for less time than a takeover needs.
class CallDeadlineTest : public testing::Test {
 protected:
  void SetUp() override {
    m_cluster.Run(seconds(3));
    m_leader = m_cluster.Leader();
    ASSERT_GE(m_leader, 0);
  }

  /// Sends a call with `kClientTimeoutMs`, and pauses the leader from then on.
  void CallPausedLeader(const std::string& method, const std::string& job, Duration pause) {
    m_cluster.At(m_leader).is_paused = true;
    m_cluster.Call((m_leader + 1) % kInstances, method, job, "tasks=1 ms=100", "key", kClientTimeoutMs);
    m_cluster.Run(pause);
    m_cluster.At(m_leader).is_paused = false;
    m_cluster.Run(seconds(1));
    ASSERT_EQ(m_cluster.Leader(), m_leader);
  }

  static constexpr int kInstances = 3;
  SimulatedCluster m_cluster{kInstances, 6};
  int m_leader = -1;
};

// Guards against work for callers that are gone, which keeps an overloaded leader from serving the others.
TEST_F(CallDeadlineTest, ExpiredCallIsNotRun) {
  CallPausedLeader("POST", "job", milliseconds(400));
  EXPECT_EQ(m_cluster.LastStatus("POST job"), FakeClientCodec::kMayHaveRun);
  const Scheduler& scheduler = m_cluster.At(m_leader).cell->term()->scheduler();
  EXPECT_EQ(scheduler.known_jobs(), 0U);
  m_cluster.Call(0, "POST", "job", "tasks=1 ms=100");
  m_cluster.Run(seconds(1));
  EXPECT_EQ(m_cluster.LastStatus("POST job"), static_cast<int>(ClientOutcome::kAccepted));
  ExpectNoViolation(m_cluster);
}

// Guards against calls that are dropped although their callers still wait.
TEST_F(CallDeadlineTest, CallWithTimeLeftIsRun) {
  CallPausedLeader("POST", "job", milliseconds(150));
  EXPECT_EQ(m_cluster.LastStatus("POST job"), static_cast<int>(ClientOutcome::kAccepted));
  ExpectNoViolation(m_cluster);
}

// Guards against calls that stay open for longer than a leader remembers the cancels of their jobs.
TEST_F(CallDeadlineTest, CallOfPatientClientEndsAfterTheLongestDuration) {
  constexpr std::int64_t kPatienceMs = 60'000;
  for (const auto& instance : m_cluster.instances) instance->store->fault = StoreFault::kNoReply;
  m_cluster.At(m_leader).is_paused = true;
  m_cluster.Call((m_leader + 1) % kInstances, "POST", "job", "tasks=1", "key", kPatienceMs);
  m_cluster.Run(kMaxCallDuration - seconds(1));
  EXPECT_EQ(m_cluster.LastStatus("POST job"), -1) << "a later leader may tell what became of it";
  m_cluster.Run(seconds(1));
  EXPECT_EQ(m_cluster.LastStatus("POST job"), FakeClientCodec::kMayHaveRun);
}

}  // namespace
}  // namespace jaymast
