#include "cell/policy_call_dispatcher.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace jaymast {
namespace {

class RecordingPort : public PolicyClient {
 public:
  void RequestTickets(const std::string& agent, const PolicyRequest& /*question*/,
                      std::function<void(PolicyReply)> done) override {
    calls.emplace_back(agent, std::move(done));
  }
  std::vector<std::pair<std::string, std::function<void(PolicyReply)>>> calls;
};

PolicyRequest Question(std::int64_t expected_ms) {
  PolicyRequest question;
  question.job = JobId("job");
  question.expected_ms = expected_ms;
  return question;
}

// Guards against previews that wait behind long calls: some instances are kept for short ones.
TEST(AdviceDeskTest, LongCallsLeaveInstancesForShortOnes) {
  RecordingPort port;
  PolicyCallDispatcher desk(port);
  desk.SetPolicyCallers({"", "a", "b", "c", "d", "e", "f", "g"});
  const Time now(Duration(1));
  int long_calls = 0;
  for (int i = 0; i < 20; ++i) long_calls += desk.TryAsk(Question(600), now, [](const PolicyReply&) {}) ? 1 : 0;
  EXPECT_EQ(long_calls, 6);
  EXPECT_TRUE(desk.TryAsk(Question(17), now, [](const PolicyReply&) {}));
}

// Guards against two long calls at one instance, of which the second waits for the first.
TEST(AdviceDeskTest, EachInstanceHasOneLongCall) {
  RecordingPort port;
  PolicyCallDispatcher desk(port);
  desk.SetPolicyCallers({"", "a"});
  const Time now(Duration(1));
  EXPECT_TRUE(desk.TryAsk(Question(600), now, [](const PolicyReply&) {}));
  EXPECT_FALSE(desk.TryAsk(Question(600), now, [](const PolicyReply&) {}));
  PolicyReply answer;
  answer.is_answered = true;
  port.calls.front().second(answer);
  EXPECT_TRUE(desk.TryAsk(Question(600), now, [](const PolicyReply&) {}));
}

// Guards against asking again and again through an instance that does not answer.
TEST(AdviceDeskTest, InstanceWithoutAnAnswerIsLeftOut) {
  RecordingPort port;
  PolicyCallDispatcher desk(port);
  desk.SetPolicyCallers({"a"});
  const Time now(Duration(1));
  ASSERT_TRUE(desk.TryAsk(Question(17), now, [](const PolicyReply&) {}));
  port.calls.front().second({});
  EXPECT_FALSE(desk.HasRoom(17, now));
  EXPECT_TRUE(desk.HasRoom(17, now + std::chrono::seconds(2)));
}

}  // namespace
}  // namespace jaymast
