#include "testing/session_platform.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using Statuses = std::vector<CommitStatus>;

class SessionPlatformTest : public testing::Test {
 protected:
  void Commit(const char* id) {
    const Transaction transaction{TransactionId(id), {}, {Write{std::string("row/") + id, "x"}}};
    m_platform.Commit("e1", transaction, [this](const CommitReply& reply) { m_statuses.push_back(reply.status); });
  }

  LookupStatus Lookup(const char* id) {
    LookupStatus status = LookupStatus::kUnavailable;
    m_platform.Lookup("e1", TransactionId(id), [&status](const LookupReply& reply) { status = reply.status; });
    Pass(milliseconds(1500));
    return status;
  }

  void Pass(Duration duration) { m_world.clock.RunUntil(m_world.clock.Now() + duration); }

  SessionWorld m_world;
  SessionPlatform m_platform{m_world};
  Statuses m_statuses;
};

// Guards against an injected fault that does not take place, which would make the sessions prove nothing.
TEST_F(SessionPlatformTest, LosesTheAnswerAfterTheWrite) {
  m_platform.LoseAnswers(1);
  Commit("a");
  Commit("b");
  Pass(milliseconds(2000));
  EXPECT_EQ(m_statuses, (Statuses{CommitStatus::kCommitted, CommitStatus::kUnknown}));
  EXPECT_EQ(Lookup("a"), LookupStatus::kCommitted);
}

TEST_F(SessionPlatformTest, DownMeansNotSent) {
  m_platform.SetDown(true);
  Commit("a");
  Pass(milliseconds(2000));
  EXPECT_EQ(m_statuses, Statuses{CommitStatus::kNotSent});
  EXPECT_EQ(Lookup("a"), LookupStatus::kUnavailable);
  m_platform.SetDown(false);
  EXPECT_EQ(Lookup("a"), LookupStatus::kAbsent);
}

TEST_F(SessionPlatformTest, SlowWriteTakesEffectAfterTheTimeout) {
  m_platform.SetDelay(milliseconds(1200));
  Commit("a");
  Pass(milliseconds(1100));
  EXPECT_EQ(m_statuses, Statuses{CommitStatus::kUnknown});
  m_platform.SetDelay({});
  Pass(milliseconds(500));
  EXPECT_EQ(Lookup("a"), LookupStatus::kCommitted);
}

TEST_F(SessionPlatformTest, PartitionLeavesTheWriteUnknown) {
  m_world.network.Place("e1", "north");
  m_world.network.Cut("north", kPlatform);
  Commit("a");
  Pass(milliseconds(2000));
  EXPECT_EQ(m_statuses, Statuses{CommitStatus::kUnknown});
  m_world.network.Heal("north", kPlatform);
  EXPECT_EQ(Lookup("a"), LookupStatus::kAbsent);
}

TEST_F(SessionPlatformTest, InstanceListLags) {
  UpstreamInfo info;
  info.id = UpstreamId("u1");
  m_platform.SetUpstream(info);
  m_platform.SetLag(milliseconds(100));
  Pass(milliseconds(10));
  info.leaving = true;
  m_platform.SetUpstream(info);
  Pass(milliseconds(99));
  EXPECT_FALSE(m_platform.VisibleInstances().upstreams.at(0).leaving);
  Pass(milliseconds(1));
  EXPECT_TRUE(m_platform.VisibleInstances().upstreams.at(0).leaving);
}

}  // namespace
}  // namespace jaymast
