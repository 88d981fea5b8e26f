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
  void RequestTickets(const std::string& caller, const PolicyRequest& request,
                      std::function<void(PolicyReply)> done) override {
    calls.emplace_back(caller, std::move(done));
    requests.push_back(request);
  }
  std::vector<std::pair<std::string, std::function<void(PolicyReply)>>> calls;
  std::vector<PolicyRequest> requests;
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
  dispatch.SetNow(Time(Duration(1)));
  int long_calls = 0;
  for (int i = 0; i < 20; ++i) {
    long_calls +=
        dispatch.TryCall(MakeRequest(600), PolicyCallDispatcher::Purpose::kStart, [](const PolicyReply&) {}) ? 1 : 0;
  }
  EXPECT_EQ(long_calls, 6);
  EXPECT_TRUE(dispatch.TryCall(MakeRequest(17), PolicyCallDispatcher::Purpose::kStart, [](const PolicyReply&) {}));
}

// Guards against a second long call at an instance, which would wait for the first.
TEST(PolicyCallDispatcherTest, MakesOneLongCallPerInstance) {
  RecordingPolicyClient client;
  PolicyCallDispatcher dispatch(client);
  dispatch.SetPolicyCallers({"", "a"});
  dispatch.SetNow(Time(Duration(1)));
  EXPECT_TRUE(dispatch.TryCall(MakeRequest(600), PolicyCallDispatcher::Purpose::kStart, [](const PolicyReply&) {}));
  EXPECT_FALSE(dispatch.TryCall(MakeRequest(600), PolicyCallDispatcher::Purpose::kStart, [](const PolicyReply&) {}));
  PolicyReply reply;
  reply.is_answered = true;
  client.calls.front().second(reply);
  EXPECT_TRUE(dispatch.TryCall(MakeRequest(600), PolicyCallDispatcher::Purpose::kStart, [](const PolicyReply&) {}));
}

// Guards against repeated calls through an instance that does not reply.
TEST(PolicyCallDispatcherTest, SkipsInstanceAfterMissingReply) {
  RecordingPolicyClient client;
  PolicyCallDispatcher dispatch(client);
  dispatch.SetPolicyCallers({"a"});
  dispatch.SetNow(Time(Duration(1)));
  ASSERT_TRUE(dispatch.TryCall(MakeRequest(17), PolicyCallDispatcher::Purpose::kStart, [](const PolicyReply&) {}));
  client.calls.front().second({});
  EXPECT_FALSE(dispatch.CanCall(17));
  dispatch.SetNow(Time(Duration(1) + std::chrono::seconds(2)));
  EXPECT_TRUE(dispatch.CanCall(17));
}

// Guards against calls that wait at the service behind one that it still handles, so that each is given up in turn.
TEST(PolicyCallDispatcherTest, MakesNoCallBehindAnOverdueOne) {
  RecordingPolicyClient client;
  PolicyCallDispatcher dispatch(client);
  dispatch.SetPolicyCallers({"a"});
  dispatch.SetNow(Time(Duration(1)));
  ASSERT_TRUE(dispatch.TryCall(MakeRequest(17), PolicyCallDispatcher::Purpose::kStart, [](const PolicyReply&) {}));
  EXPECT_TRUE(dispatch.CanCall(17));
  dispatch.SetNow(Time(Duration(1) + std::chrono::milliseconds(600)));
  EXPECT_FALSE(dispatch.CanCall(17));
}

// Guards against a timeout that is shorter than what the service takes, for ever.
TEST(PolicyCallDispatcherTest, TimeoutGrowsUntilThereIsAReply) {
  RecordingPolicyClient client;
  PolicyCallDispatcher dispatch(client);
  dispatch.SetPolicyCallers({"a"});
  Time now(Duration(1));
  const auto call = [&] {
    dispatch.SetNow(now);
    EXPECT_TRUE(dispatch.TryCall(MakeRequest(100), PolicyCallDispatcher::Purpose::kStart, [](const PolicyReply&) {}));
    return client.requests.back().timeout_ms;
  };
  const std::int64_t first_ms = call();
  PolicyReply lost;
  lost.may_be_pending = true;
  client.calls.back().second(lost);
  EXPECT_FALSE(dispatch.CanCall(100));
  now += std::chrono::seconds(1);
  EXPECT_GT(call(), 3 * first_ms / 2);
  PolicyReply answered;
  answered.is_answered = true;
  client.calls.back().second(answered);
  EXPECT_EQ(call(), first_ms);
}

// Guards against timeouts that grow with each lost reply, so that the instances are busy long after the loss has ended.
TEST(PolicyCallDispatcherTest, TimeoutIsBoundedWhenRepliesAreLost) {
  RecordingPolicyClient client;
  PolicyCallDispatcher dispatch(client);
  dispatch.SetPolicyCallers({"a"});
  Time now(Duration(1));
  for (int i = 0; i < 20; ++i) {
    dispatch.SetNow(now);
    ASSERT_TRUE(dispatch.TryCall(MakeRequest(17), PolicyCallDispatcher::Purpose::kStart, [](const PolicyReply&) {}));
    EXPECT_LE(client.requests.back().timeout_ms, 5000);
    now += std::chrono::milliseconds(client.requests.back().timeout_ms);
    dispatch.SetNow(now);
    PolicyReply lost;
    lost.may_be_pending = true;
    client.calls.back().second(lost);
    now += std::chrono::seconds(1);
  }
}

// Guards against an instance that is removed and added again while it has an open call, and then counts as free.
TEST(PolicyCallDispatcherTest, KeepsOpenCallsOfRemovedInstances) {
  RecordingPolicyClient client;
  PolicyCallDispatcher dispatch(client);
  dispatch.SetPolicyCallers({"a", "b"});
  dispatch.SetNow(Time(Duration(1)));
  ASSERT_TRUE(dispatch.TryCall(MakeRequest(600), PolicyCallDispatcher::Purpose::kStart, [](const PolicyReply&) {}));
  ASSERT_EQ(client.calls.back().first, "a");
  dispatch.SetPolicyCallers({"b"});
  dispatch.SetPolicyCallers({"a", "b"});
  ASSERT_TRUE(dispatch.TryCall(MakeRequest(17), PolicyCallDispatcher::Purpose::kStart, [](const PolicyReply&) {}));
  EXPECT_EQ(client.calls.back().first, "b");
}

// Guards against calls for steps that can't start which take all instances from those that can.
TEST(PolicyCallDispatcherTest, PrefetchLeavesInstancesFree) {
  RecordingPolicyClient client;
  PolicyCallDispatcher dispatch(client);
  dispatch.SetPolicyCallers({"", "a", "b", "c", "d", "e", "f", "g"});
  dispatch.SetNow(Time(Duration(1)));
  int calls = 0;
  while (dispatch.TryCall(MakeRequest(600), PolicyCallDispatcher::Purpose::kPrefetch, [](const PolicyReply&) {})) {
    ++calls;
  }
  EXPECT_EQ(calls, 4);
  EXPECT_TRUE(dispatch.TryCall(MakeRequest(600), PolicyCallDispatcher::Purpose::kStart, [](const PolicyReply&) {}));
}

}  // namespace
}  // namespace jaymast
