#include "instance/relay.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
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
    Time sent_at{};
  };

  void Call(Duration time_left = milliseconds(2800), const std::string& method = "POST") {
    m_relay.OnCall({method, std::to_string(++m_calls), {}, ""}, m_now, m_now + time_left,
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
  /// An answer of a leader that handled the call 2 ms after it was sent.
  static Relay::Attempt HandledAtOnce() { return {true, true, false, {kOk, {}, ""}, milliseconds(2)}; }
  static Relay::Attempt Response(int status) { return {true, true, false, {status, {}, ""}}; }

  Time m_now{Duration(1'000'000)};
  bool m_is_leader_known = true;
  std::string m_leader = "a";
  std::uint64_t m_epoch = 1;
  std::vector<SentAttempt> m_sent_attempts;
  std::vector<std::string> m_requests;  ///< targets in the order in which they were sent
  std::vector<int> m_statuses;
  int m_calls = 0;
  Relay m_relay{{[this](const std::string& address, const HttpRequest& request, const Relay::Deadlines& deadlines,
                        std::function<void(Relay::Attempt)> done) {
                   m_requests.push_back(request.target);
                   m_sent_attempts.push_back({address, deadlines.attempt, std::move(done), m_now});
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

// Load pattern: the leader answered 40 calls a second after 400 ms, then answers at once; all callers state 300 ms.
// Guards against refusals that go on because refused calls show nothing of the present.
TEST_F(RelayTest, ShortCallsAreSentSoonAfterSlowAnswers) {
  Tick(milliseconds(10));
  for (int i = 0; i < 20; ++i) {
    const std::size_t open = m_sent_attempts.size();
    for (int call = 0; call < 16; ++call) Call();
    Tick(milliseconds(400));
    for (std::size_t sent = open; sent < open + 16; ++sent) m_sent_attempts[sent].done(HandledAtOnce());
  }
  m_sent_attempts.clear();
  for (int i = 0; i < 100; ++i) {
    Call(milliseconds(300));
    Tick(milliseconds(10));
  }
  EXPECT_FALSE(m_sent_attempts.empty());
}

// Load pattern: the store takes 500 ms for each commit, and the leader handles each call at once.
// Guards against reads that are refused because writes wait for the store.
TEST_F(RelayTest, ReadsAreSentWhileWritesWaitForStore) {
  Tick(milliseconds(10));
  Call(milliseconds(2800), "GET");
  m_sent_attempts.back().done(HandledAtOnce());
  for (int i = 0; i < 16; ++i) Call();
  m_statuses.clear();
  m_sent_attempts.clear();
  Call(milliseconds(2800), "GET");
  for (int i = 0; i < 30; ++i) Tick(milliseconds(10));
  EXPECT_EQ(m_sent_attempts.size(), 1U);
  EXPECT_TRUE(m_statuses.empty());
}

// Load pattern: 100 calls wait for the next leader, which handles each call at once, with a commit after 400 ms.
// Guards against refusals of calls that an idle leader would accept in time.
TEST_F(RelayTest, CallsThatWaitedForLeaderAreSentToIt) {
  Tick(milliseconds(10));
  m_is_leader_known = false;
  Tick(milliseconds(10));
  for (int i = 0; i < 100; ++i) Call();
  Tick(milliseconds(600));
  m_is_leader_known = true;
  for (int i = 0; i < 200; ++i) {
    Tick(milliseconds(10));
    std::vector<SentAttempt> open;
    std::swap(open, m_sent_attempts);
    for (SentAttempt& attempt : open) {
      if (m_now - attempt.sent_at >= milliseconds(400)) {
        attempt.done(HandledAtOnce());
      } else {
        m_sent_attempts.push_back(std::move(attempt));
      }
    }
  }
  EXPECT_EQ(std::count(m_statuses.begin(), m_statuses.end(), kOk), 100);
  EXPECT_EQ(std::count(m_statuses.begin(), m_statuses.end(), kRefused), 0);
}

// Guards against calls that may have run and are never asked about again, as later calls go first.
TEST_F(RelayTest, CallThatMayHaveRunIsSentAgainWhileOthersArrive) {
  Tick(milliseconds(10));
  Call();
  const SentAttempt first = m_sent_attempts.back();
  for (int i = 0; i < 15; ++i) Call();
  Tick(milliseconds(1300));
  first.done({false, true, false, {}});
  m_sent_attempts.erase(m_sent_attempts.begin());
  const std::size_t sent = m_requests.size();
  for (int i = 0; i < 140; ++i) {
    for (int call = 0; call < 3; ++call) Call();
    Tick(milliseconds(10));
    SentAttempt oldest = m_sent_attempts.front();
    m_sent_attempts.erase(m_sent_attempts.begin());
    oldest.done(HandledAtOnce());
  }
  EXPECT_GT(m_requests.size(), sent + 100);
  EXPECT_EQ(std::count(m_requests.begin(), m_requests.end(), "1"), 2);
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
