#include "instance/tick_pacer.h"

#include <gtest/gtest.h>

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{Duration(1'000'000)};

/// Time that ticks of this length take in a second while each is followed by an event.
Duration TickTimeInASecond(Duration length) {
  TickPacer pacer;
  Duration ticks{};
  for (Time now = kStart; now < kStart + seconds(1);) {
    pacer.OnTick(now, now + length);
    ticks += length;
    now = pacer.NextTickAt(now + length);
  }
  return ticks;
}

// Guards against ticks that take the time in which messages would be read.
TEST(TickPacerTest, TicksLeaveMostOfTheTimeToMessages) {
  for (const Duration length : {Duration(500), Duration(2'000), Duration(6'000), Duration(20'000)}) {
    EXPECT_LE(TickTimeInASecond(length), milliseconds(340) + length) << length.count() << " us";
  }
}

// Guards against delays of starts and commits on a loop that is not busy.
TEST(TickPacerTest, ShortTickFollowsAnEventWithinAMillisecond) {
  TickPacer pacer;
  EXPECT_EQ(pacer.NextTickAt(kStart), kStart + TickPacer::kEventDelay);
  pacer.OnTick(kStart, kStart + Duration(100));
  EXPECT_EQ(pacer.NextTickAt(kStart + Duration(100)), kStart + Duration(100) + TickPacer::kEventDelay);
}

// Guards against a loop that stands still after one long tick.
TEST(TickPacerTest, PauseIsBounded) {
  TickPacer pacer;
  pacer.OnTick(kStart, kStart + milliseconds(500));
  EXPECT_LE(pacer.NextTickAt(kStart + milliseconds(500)), kStart + milliseconds(550));
}

}  // namespace
}  // namespace jaymast
