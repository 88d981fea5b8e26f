#include "cell/store_contact.h"

#include <gtest/gtest.h>

namespace jaymast {
namespace {

using std::chrono::milliseconds;

Time At(int ms) { return Time{} + milliseconds(ms); }

// Guards against a slow store that is taken for one that is back after an outage, which doubles the calls to it.
TEST(StoreContactTest, SlowRepliesAreNoSilence) {
  StoreContact contact;
  for (int i = 0; i < 10; ++i) {
    contact.OnCallSent(At(1000 + i * 450));
    EXPECT_FALSE(contact.IsSilent(At(1400 + i * 450)));
    contact.OnReceived(At(1400 + i * 450));
    contact.OnCallEnded(true);
  }
  EXPECT_EQ(contact.ended_silences(), 0U);
}

// Guards against a process without calls that takes its own pause for an outage.
TEST(StoreContactTest, TimeWithoutCallsIsNoSilence) {
  StoreContact contact;
  contact.OnCallSent(At(1000));
  contact.OnReceived(At(1005));
  contact.OnCallEnded(true);
  EXPECT_FALSE(contact.IsSilent(At(9000)));
  contact.OnCallSent(At(9000));
  contact.OnReceived(At(9005));
  EXPECT_EQ(contact.ended_silences(), 0U);
}

TEST(StoreContactTest, FirstReplyEndsSilence) {
  StoreContact contact;
  contact.OnCallSent(At(1000));
  contact.OnCallEnded(false);
  contact.OnCallSent(At(1900));
  contact.OnCallSent(At(1900));
  EXPECT_TRUE(contact.IsSilent(At(2000))) << "calls in a row without a reply";
  contact.OnReceived(At(2600));
  EXPECT_EQ(contact.ended_silences(), 1U);
  EXPECT_FALSE(contact.IsSilent(At(2601)));
  contact.OnReceived(At(2700));
  EXPECT_EQ(contact.ended_silences(), 1U);
}

}  // namespace
}  // namespace jaymast
