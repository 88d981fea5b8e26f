#include "cell/policy_call_dispatcher.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace jaymast {
namespace {

class RecordingPolicyClient : public PolicyClient {
 public:
  void RequestTickets(const std::string& caller, const PolicyRequest& /*request*/,
                      std::function<void(PolicyReply)> done) override {
    calls.emplace_back(caller, std::move(done));
  }
  std::vector<std::pair<std::string, std::function<void(PolicyReply)>>> calls;
};

PolicyRequest MakeRequest(std::int64_t expected_ms) {
  PolicyRequest request;
  request.job = JobId("job");
  request.expected_ms = expected_ms;
  return request;
}

// Guards against previews that wait behind long calls because no instance is reserved for short ones.
TEST(PolicyCallDispatcherTest, ReservesInstancesForShortCalls) {
  RecordingPolicyClient client;
  PolicyCallDispatcher dispatch(client);
  dispatch.SetPolicyCallers({"", "a", "b", "c", "d", "e", "f", "g"});
  const Time now(Duration(1));
  int long_calls = 0;
  for (int i = 0; i < 20; ++i) long_calls += dispatch.TryCall(MakeRequest(600), now, [](const PolicyReply&) {}) ? 1 : 0;
  EXPECT_EQ(long_calls, 6);
  EXPECT_TRUE(dispatch.TryCall(MakeRequest(17), now, [](const PolicyReply&) {}));
}

// Guards against a second long call at an instance, which would wait for the first.
TEST(PolicyCallDispatcherTest, MakesOneLongCallPerInstance) {
  RecordingPolicyClient client;
  PolicyCallDispatcher dispatch(client);
  dispatch.SetPolicyCallers({"", "a"});
  const Time now(Duration(1));
  EXPECT_TRUE(dispatch.TryCall(MakeRequest(600), now, [](const PolicyReply&) {}));
  EXPECT_FALSE(dispatch.TryCall(MakeRequest(600), now, [](const PolicyReply&) {}));
  PolicyReply reply;
  reply.is_answered = true;
  client.calls.front().second(reply);
  EXPECT_TRUE(dispatch.TryCall(MakeRequest(600), now, [](const PolicyReply&) {}));
}

// Guards against repeated calls through an instance that does not reply.
TEST(PolicyCallDispatcherTest, SkipsInstanceAfterMissingReply) {
  RecordingPolicyClient client;
  PolicyCallDispatcher dispatch(client);
  dispatch.SetPolicyCallers({"a"});
  const Time now(Duration(1));
  ASSERT_TRUE(dispatch.TryCall(MakeRequest(17), now, [](const PolicyReply&) {}));
  client.calls.front().second({});
  EXPECT_FALSE(dispatch.CanCall(17, now));
  EXPECT_TRUE(dispatch.CanCall(17, now + std::chrono::seconds(2)));
}

}  // namespace
}  // namespace jaymast
