#include "cell/refused_calls.h"

#include <gtest/gtest.h>

namespace jaymast {
namespace {

using std::chrono::seconds;

const Time kStart(Duration(1'000'000));

// Guards against a copy of a refused call that is accepted, or that gets another reply than the call.
TEST(RefusedCallsTest, CopyGetsTheReplyOfTheCall) {
  RefusedCalls calls;
  calls.Add("call", {ClientOutcome::kOverloaded, {}, 0, 4}, kStart);
  const ClientReply* reply = calls.Find("call", kStart + seconds(14));
  ASSERT_NE(reply, nullptr);
  EXPECT_EQ(reply->outcome, ClientOutcome::kOverloaded);
  EXPECT_EQ(reply->retry_after_s, 4);
  EXPECT_EQ(calls.Find("other", kStart), nullptr);
}

// Guards against memory that grows with each refusal.
TEST(RefusedCallsTest, ForgetsCallsAfterTheirRetention) {
  RefusedCalls calls;
  calls.Add("call", {}, kStart);
  calls.Add("", {}, kStart);
  EXPECT_EQ(calls.Find("", kStart), nullptr) << "calls without an id are not told apart";
  EXPECT_EQ(calls.Find("call", kStart + seconds(15)), nullptr);
}

}  // namespace
}  // namespace jaymast
