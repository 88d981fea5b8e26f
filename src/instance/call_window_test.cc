#include "instance/call_window.h"

#include <gtest/gtest.h>

#include "instance/peer_clock.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;

class CallWindowTest : public testing::Test {
 protected:
  /// Fills the window, and ends all calls after `time`.
  void Round(std::optional<Duration> delay, Duration time = milliseconds(20)) {
    const Time sent_at = m_now;
    std::size_t sent = 0;
    for (; m_window.HasRoom(); ++sent) m_window.OnSent(m_now);
    m_now += time;
    for (; sent > 0; --sent) m_window.OnEnded(sent_at, delay, m_now);
  }

  Time m_now{Duration(1'000'000)};
  CallWindow m_window;
};

// Guards against calls that pile up at a leader that does not get to them.
TEST_F(CallWindowTest, ShrinksWhileCallsAreHandledLate) {
  for (int i = 0; i < 20; ++i) Round(milliseconds(400), milliseconds(450));
  EXPECT_DOUBLE_EQ(m_window.limit(), CallWindow::kMinLimit);
  EXPECT_TRUE(m_window.HasRoom()) << "otherwise nothing would show the end of the overload";
}

// Guards against an instance that stays slow after the overload.
TEST_F(CallWindowTest, GrowsAgainOnceCallsAreHandledAtOnce) {
  for (int i = 0; i < 20; ++i) Round(milliseconds(400), milliseconds(450));
  const Time calm_at = m_now;
  while (m_window.limit() < CallWindow::kInitialLimit) Round(milliseconds(2));
  EXPECT_LE(m_now - calm_at, milliseconds(500));
}

// Guards against fewer calls because of a slow store, which a smaller window does not make faster.
TEST_F(CallWindowTest, SlowAnswersAreNoOverload) {
  for (int i = 0; i < 20; ++i) Round(milliseconds(2), milliseconds(900));
  EXPECT_GE(m_window.limit(), CallWindow::kInitialLimit);
  m_window.OnSent(m_now);
  const Time sent_at = m_now;
  Round(milliseconds(2));
  m_now += milliseconds(1300);
  m_window.OnEnded(sent_at, std::nullopt, m_now);
  EXPECT_GE(m_window.limit(), CallWindow::kInitialLimit);
}

// Load pattern: a link with a latency of 60 ms, and an idle leader, whose clock is known from its heartbeats.
// Guards against a window that closes because of the latency of the link, which a smaller one does not change.
TEST_F(CallWindowTest, LatencyOfTheLinkIsNoOverload) {
  constexpr Duration kLatency = milliseconds(60);
  PeerClock clock;
  clock.OnMessage(m_now - kLatency, m_now);
  for (int i = 0; i < 20; ++i) Round(m_now + kLatency - *clock.ToPeer(m_now), 2 * kLatency);
  EXPECT_GE(m_window.limit(), CallWindow::kInitialLimit);
}

// Guards against a window that collapses because all calls of one burst report the same delay.
TEST_F(CallWindowTest, OneBurstCountsOnce) {
  Round(milliseconds(400));
  EXPECT_GE(m_window.limit(), CallWindow::kInitialLimit / 2);
}

}  // namespace
}  // namespace jaymast
