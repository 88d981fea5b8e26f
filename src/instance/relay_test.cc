#include "instance/relay.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace jaymast {
namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kRefused = 503;
constexpr int kMayHaveRun = 504;

/// Completes the attempts of a relay by hand.
class RelayTest : public testing::Test {
 protected:
  struct SentAttempt {
    std::string address;
    Time deadline;
    std::function<void(Relay::Attempt)> done;
  };

  void Call(Duration time_left = milliseconds(2800), const std::string& method = "POST") {
    m_relay.OnCall({method, "", {}, ""}, m_now, m_now + time_left,
                   [this](const HttpResponse& response) { m_statuses.push_back(response.status); });
  }
  /// Completes calls that the leader answers after `time` each.
  void AnswerCallsAfter(Duration time, const std::string& method = "POST") {
    for (int i = 0; i < 20; ++i) {
      Call(milliseconds(2800), method);
      Tick(time);
      m_sent_attempts.back().done(Response(kOk));
    }
    m_statuses.clear();
    m_sent_attempts.clear();
  }
  void Tick(Duration time) {
    m_now += time;
    m_relay.SetLeader(m_is_leader_known, m_leader, m_epoch, m_now);
    m_relay.OnTick(m_now);
  }
  static Relay::Attempt Response(int status) { return {true, true, false, {status, {}, ""}}; }

  Time m_now{Duration(1'000'000)};
  bool m_is_leader_known = true;
  std::string m_leader = "a";
  std::uint64_t m_epoch = 1;
  std::vector<SentAttempt> m_sent_attempts;
  std::vector<int> m_statuses;
  Relay m_relay{{[this](const std::string& address, const HttpRequest&, const Relay::Deadlines& deadlines,
                        std::function<void(Relay::Attempt)> done) {
                   m_sent_attempts.push_back({address, deadlines.attempt, std::move(done)});
                 },
                 [](const HttpRequest& /*request*/, Duration /*waited*/, bool may_have_run) {
                   return HttpResponse{may_have_run ? kMayHaveRun : kRefused, {}, ""};
                 }}};
};

// Guards against a "not run" from a deposed leader while the call is on its way to the new one.
TEST_F(RelayTest, RefusalByEarlierLeaderIsNotFinal) {
  Tick(milliseconds(10));
  Call();
  m_leader = "b";
  m_epoch = 2;
  Tick(milliseconds(10));
  ASSERT_EQ(m_sent_attempts.size(), 2U);
  EXPECT_EQ(m_sent_attempts[1].address, "b");
  m_sent_attempts[0].done(Response(kRefused));
  EXPECT_TRUE(m_statuses.empty());
  m_sent_attempts[1].done(Response(kOk));
  EXPECT_EQ(m_statuses, std::vector<int>{kOk});
}

// Guards against "not run" for a call that the leader may have received before it crashed.
TEST_F(RelayTest, CallWithoutResponseMayHaveRun) {
  Tick(milliseconds(10));
  Call();
  m_sent_attempts[0].done({false, true, false, {}});
  m_is_leader_known = false;
  for (int i = 0; i < 30; ++i) Tick(milliseconds(100));
  EXPECT_EQ(m_statuses, std::vector<int>{kMayHaveRun});
}

// Guards against an unknown outcome for a call that the leader may have received before it crashed, although the next
// leader, which knows, appears before the deadline of the call.
TEST_F(RelayTest, CallThatMayHaveRunIsDecidedByNextLeader) {
  Tick(milliseconds(10));
  Call();
  m_sent_attempts[0].done({false, true, false, {}});
  m_is_leader_known = false;
  for (int i = 0; i < 20; ++i) Tick(milliseconds(100));
  EXPECT_TRUE(m_statuses.empty());
  m_is_leader_known = true;
  m_leader = "b";
  m_epoch = 2;
  Tick(milliseconds(100));
  ASSERT_EQ(m_sent_attempts.size(), 2U);
  m_sent_attempts[1].done(Response(kOk));
  EXPECT_EQ(m_statuses, std::vector<int>{kOk});
}

// Guards against "not run" while an attempt at an earlier leader, which may have stored the job, is pending.
TEST_F(RelayTest, PendingAttemptAtEarlierLeaderMayHaveRun) {
  Tick(milliseconds(10));
  Call();
  m_leader = "";
  m_epoch = 2;
  Tick(milliseconds(800));
  ASSERT_EQ(m_sent_attempts.size(), 2U);
  m_sent_attempts[1].done({true, true, true, {}});
  m_is_leader_known = false;
  Tick(milliseconds(2100));
  EXPECT_EQ(m_statuses, std::vector<int>{kMayHaveRun});
}

// Guards against an unknown outcome for a call whose last attempt waited for a connection until its end.
TEST_F(RelayTest, CallThatWasNeverSentIsNotRun) {
  Tick(milliseconds(10));
  Call();
  const Time deadline = m_now + milliseconds(2800);
  std::size_t resolved = 0;
  while (m_statuses.empty() && m_now <= deadline) {
    Tick(milliseconds(10));
    while (resolved < m_sent_attempts.size() && m_now >= m_sent_attempts[resolved].deadline) {
      m_sent_attempts[resolved++].done({false, false, false, {}});
    }
  }
  EXPECT_EQ(m_statuses, std::vector<int>{kRefused});
}

// Guards against calls that wait for their deadline although this instance is partitioned.
TEST_F(RelayTest, CallIsRefusedAtOnceWithoutLeader) {
  Tick(milliseconds(10));
  m_is_leader_known = false;
  for (int i = 0; i < 25; ++i) Tick(milliseconds(100));
  Call();
  EXPECT_EQ(m_statuses, std::vector<int>{kRefused});
}

// Load pattern: callers that got no response in time come back with 20 ms left.
// Guards against calls that add to the load of the leader although no answer can be there in time.
TEST_F(RelayTest, CallThatCannotBeAnsweredInTimeIsRefusedAtOnce) {
  Tick(milliseconds(10));
  AnswerCallsAfter(milliseconds(40));
  Call(milliseconds(20));
  EXPECT_EQ(m_statuses, std::vector<int>{kRefused});
  EXPECT_TRUE(m_sent_attempts.empty());
  Call(milliseconds(60));
  EXPECT_EQ(m_sent_attempts.size(), 1U);
}

// Guards against reads that are refused because writes, which wait for a commit, take longer.
TEST_F(RelayTest, ReadsAreNotJudgedByWrites) {
  Tick(milliseconds(10));
  AnswerCallsAfter(milliseconds(40), "POST");
  AnswerCallsAfter(milliseconds(5), "GET");
  Call(milliseconds(20), "GET");
  EXPECT_EQ(m_sent_attempts.size(), 1U);
}

// Guards against refusals by what is known of an earlier time, when the leader was slow.
TEST_F(RelayTest, OldResponseTimesAreForgotten) {
  Tick(milliseconds(10));
  AnswerCallsAfter(milliseconds(40));
  Tick(milliseconds(8000));
  Call(milliseconds(20));
  EXPECT_EQ(m_sent_attempts.size(), 1U);
}

// Guards against calls that are dropped during a change of leader.
TEST_F(RelayTest, CallWaitsForNextLeader) {
  Tick(milliseconds(10));
  m_is_leader_known = false;
  Tick(milliseconds(300));
  Call();
  EXPECT_TRUE(m_sent_attempts.empty());
  m_is_leader_known = true;
  m_epoch = 2;
  Tick(milliseconds(300));
  ASSERT_EQ(m_sent_attempts.size(), 1U);
  m_sent_attempts[0].done({true, true, true, {}});
  Tick(milliseconds(100));
  ASSERT_EQ(m_sent_attempts.size(), 2U) << "an undecided response must be retried";
  m_sent_attempts[1].done(Response(kOk));
  EXPECT_EQ(m_statuses, std::vector<int>{kOk});
}

}  // namespace
}  // namespace jaymast
