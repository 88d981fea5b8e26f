#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "cell_testing/cell_checks.h"
#include "cell_testing/retrying_callers.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class FakeProcessorTest : public testing::Test {
 protected:
  FakeProcessor::Message MakeMessage(const std::string& name, MessageKind kind, std::size_t bytes = 0) {
    return {kind, bytes, [this, name] { m_handled.push_back(name + "@" + std::to_string(MicrosSinceStart())); }};
  }
  std::int64_t MicrosSinceStart() const { return (m_queue.now() - m_started_at).count(); }

  EventQueue m_queue;
  const Time m_started_at = m_queue.now();
  ProcessorSettings m_settings;
  std::vector<std::string> m_handled;
};

// Guards against messages that are handled at one time, out of order, or at no cost.
TEST_F(FakeProcessorTest, MessagesWaitForTheirTurn) {
  FakeProcessor processor(m_queue, m_settings);
  FakeProcessor::Message call = MakeMessage("call", MessageKind::kClientCall);
  call.handle = [&processor, handle = call.handle, this] {
    handle();
    processor.Charge(m_settings.decision_cost);
  };
  processor.Post(call);
  processor.Post(MakeMessage("tick", MessageKind::kTick));
  processor.Post(MakeMessage("reply", MessageKind::kPeerReply));
  EXPECT_EQ(processor.waiting(), 2U);
  m_queue.RunUntil(m_started_at + seconds(1));
  EXPECT_EQ(m_handled, (std::vector<std::string>{"call@100", "tick@1100", "reply@1200"}));
}

// Guards against a reply that is read although its receiver has given up, and against a request that is not.
TEST_F(FakeProcessorTest, OnlyUnwantedRepliesAreFree) {
  FakeProcessor processor(m_queue, m_settings);
  processor.Post(MakeMessage("call", MessageKind::kRelayedCall));
  FakeProcessor::Message reply = MakeMessage("reply", MessageKind::kPeerReply);
  reply.is_wanted = [] { return false; };
  processor.Post(reply);
  processor.Post(MakeMessage("late call", MessageKind::kRelayedCall));
  m_queue.RunUntil(m_started_at + seconds(1));
  EXPECT_EQ(m_handled, (std::vector<std::string>{"call@200", "late call@400"}));
}

// Guards against a large message that is read at once although the event loop reads pieces.
TEST_F(FakeProcessorTest, PiecesOfLargeMessageTakeTurns) {
  m_settings.bytes_per_turn = 512;
  FakeProcessor processor(m_queue, m_settings);
  processor.Post(MakeMessage("feed", MessageKind::kFeedRead, 1500));
  processor.Post(MakeMessage("call", MessageKind::kRelayedCall, 512));
  m_queue.RunUntil(m_started_at + seconds(1));
  EXPECT_EQ(m_handled, (std::vector<std::string>{"call@220", "feed@740"}));
}

// Guards against timers that wait behind all messages although the event loop handles them at each turn.
TEST_F(FakeProcessorTest, TimersOvertakeMessagesIfSet) {
  m_settings.are_timers_first = true;
  FakeProcessor processor(m_queue, m_settings);
  processor.Post(MakeMessage("first", MessageKind::kRelayedCall));
  processor.Post(MakeMessage("second", MessageKind::kRelayedCall));
  processor.Post(MakeMessage("tick", MessageKind::kTick));
  m_queue.RunUntil(m_started_at + seconds(1));
  EXPECT_EQ(m_handled, (std::vector<std::string>{"first@200", "tick@400", "second@600"}));
}

// Guards against messages that outlive the process that received them.
TEST_F(FakeProcessorTest, MessagesEndWithTheProcess) {
  FakeProcessor processor(m_queue, m_settings);
  processor.Post(MakeMessage("first", MessageKind::kRelayedCall));
  processor.Post(MakeMessage("second", MessageKind::kRelayedCall));
  processor.Reset();
  processor.Post(MakeMessage("third", MessageKind::kRelayedCall));
  m_queue.RunUntil(m_started_at + seconds(1));
  EXPECT_EQ(m_handled, (std::vector<std::string>{"third@200"}));
}

// Guards against a model that fails callers without overload.
TEST(RetryingCallersTest, AllAreServedWithoutOverload) {
  SimulatedCluster cluster(5, 10, 64'000, {}, ProcessorSettings{});
  cluster.Run(seconds(3));
  RetryingCallers callers(cluster, 1);
  const Time began_at = cluster.queue.now();
  callers.SetRate(200);
  cluster.Run(seconds(5));
  callers.SetRate(0);
  cluster.Run(seconds(4));
  const std::size_t arrived = callers.CountArrived(began_at, cluster.queue.now());
  EXPECT_GT(arrived, 800U);
  EXPECT_EQ(callers.CountServed(began_at, cluster.queue.now()), arrived);
  EXPECT_EQ(callers.CountAttempts(began_at, cluster.queue.now()), arrived);
  for (const std::string& job : callers.accepted_jobs()) {
    const TaskKey task{JobId(job), 0, 0, 0};
    EXPECT_EQ(cluster.history.done.count(task), 1U) << job;
  }
  ExpectNoViolation(cluster);
}

// Guards against callers that are served without an instance, or that go on after their time.
TEST(RetryingCallersTest, CallersGiveUpAfterTheirTime) {
  SimulatedCluster cluster(5, 10, 64'000, {}, ProcessorSettings{});
  cluster.Run(seconds(3));
  for (auto& instance : cluster.instances) instance->store->fault = StoreFault::kRefusing;
  cluster.Run(seconds(3));
  RetryingCallers callers(cluster, 1);
  const Time began_at = cluster.queue.now();
  callers.SetRate(50);
  cluster.Run(seconds(1));
  callers.SetRate(0);
  cluster.Run(seconds(4));
  const std::size_t arrived = callers.CountArrived(began_at, cluster.queue.now());
  const std::size_t attempts = callers.CountAttempts(began_at, cluster.queue.now());
  EXPECT_GT(arrived, 20U);
  EXPECT_EQ(callers.CountServed(began_at, cluster.queue.now()), 0U);
  EXPECT_GT(attempts, arrived);
  EXPECT_LE(attempts, arrived * (1 + RetryingCallers::kMaxRetries));
  cluster.Run(seconds(10));
  EXPECT_EQ(callers.CountAttempts(began_at, cluster.queue.now()), attempts);
}

}  // namespace
}  // namespace jaymast
