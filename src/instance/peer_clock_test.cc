#include "instance/peer_clock.h"

#include <gtest/gtest.h>

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{Duration(50'000'000)};
constexpr Duration kOffset{7'000'000};  ///< of the other clock

// Guards against deadlines that are converted to a time at which the reply would arrive too late.
TEST(PeerClockTest, LeastDelayCounts) {
  PeerClock clock;
  EXPECT_FALSE(clock.ToPeer(kStart));
  clock.OnMessage(kStart + kOffset, kStart + milliseconds(40));
  EXPECT_EQ(clock.ToPeer(kStart), kStart + kOffset - milliseconds(40));
  clock.OnMessage(kStart + kOffset + seconds(1), kStart + seconds(1) + milliseconds(2));
  clock.OnMessage(kStart + kOffset + seconds(2), kStart + seconds(2) + milliseconds(90));
  EXPECT_EQ(clock.ToPeer(kStart), kStart + kOffset - milliseconds(2));
}

// Guards against an estimate that is right only at first, as steady clocks differ in speed.
TEST(PeerClockTest, OldMessagesAreForgotten) {
  PeerClock clock;
  clock.OnMessage(kStart + kOffset, kStart);
  for (int i = 1; i <= 300; ++i) {
    const Time now = kStart + milliseconds(100) * i;
    clock.OnMessage(now + kOffset - milliseconds(5), now);
  }
  EXPECT_EQ(clock.ToPeer(kStart), kStart + kOffset - milliseconds(5));
}

// Guards against the clock of an earlier leader.
TEST(PeerClockTest, ResetForgetsTheOtherInstance) {
  PeerClock clock;
  clock.OnMessage(kStart + kOffset, kStart);
  clock.Reset();
  EXPECT_FALSE(clock.ToPeer(kStart));
}

}  // namespace
}  // namespace jaymast
