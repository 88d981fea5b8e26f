#include "standin_server/standin_site.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <condition_variable>
#include <future>
#include <mutex>

#include "model/codec.h"
#include "model/runner_codec.h"
#include "model/table_codec.h"
#include "net/blocking_http_client.h"
#include "net/io_pool.h"
#include "standin/task_profile.h"
#include "standin_server/standin_clock.h"
#include "standin_server/standin_settings.h"

namespace jaymast {
namespace {

/// Upper bound of a wait for something that must happen. Tests do not depend on how fast it happens.
constexpr std::chrono::milliseconds kPatience{20'000};

/// Wait for an answer that a fault must prevent. A longer wait would only make the test slower.
constexpr std::chrono::milliseconds kImpatience{100};

constexpr std::int64_t kDayMs = 24LL * 3600 * 1000;
const FencingToken kOwner{EntryId("e1"), 1};

StandinSettings Settings() {
  StandinSettings settings;
  settings.control = "127.0.0.1:0";
  settings.platform = StandinPlatformSettings{};
  settings.platform->address = "127.0.0.1:0";
  settings.platform->list_lag = Duration::zero();
  for (const char* name : {"u1", "u2"}) {
    StandinRunner runner;
    runner.info.id = UpstreamId(name);
    runner.info.domain = DomainId("d1");
    runner.info.address = "127.0.0.1:0";
    runner.info.capacity = Resources{8000, 8192, 0, 8};
    runner.settings.name = name;
    runner.settings.upstream = runner.info.id;
    runner.settings.capacity = runner.info.capacity;
    settings.runners.push_back(runner);
  }
  return settings;
}

class StandinSiteTest : public ::testing::Test {
 protected:
  void SetUp() override {
    auto site = StandinSite::Start(m_pool, Settings(), [this](const Event&) {
      const std::lock_guard lock(m_mutex);
      ++m_events;
      m_emitted.notify_all();
    });
    ASSERT_TRUE(site) << site.error().reason;
    m_site = std::move(*site);
    const std::string text = m_site->Describe();
    m_platform = AddressOf(text, "platform ");
    m_runner = AddressOf(text, "runner u1 ");
  }

  ~StandinSiteTest() override { m_pool.Stop(); }

  static std::string AddressOf(const std::string& text, const std::string& label) {
    const std::size_t begin = text.find(label) + label.size();
    return text.substr(begin, text.find('\n', begin) - begin);
  }

  HttpResult Call(const std::string& address, const HttpCall& call, std::chrono::milliseconds timeout = kPatience) {
    return m_client.Call(address, HttpRequest{call.method, call.target, {}, call.body}, timeout);
  }

  UpstreamReply CallRunner(const UpstreamRequest& request) {
    const HttpResult result = Call(m_runner, EncodeUpstreamRequest(request));
    return DecodeUpstreamReply(result.response.body).value();
  }

  static RunTaskRequest RunTask(const std::string& id) {
    TaskSpec spec;
    spec.id = TaskId(id);
    spec.demand.slots = 1;
    spec.body = R"({"run_ms":5,"output_bytes":5000})";
    return RunTaskRequest{kOwner, spec, 1, EntryId("e1"), ToMillis(StandinClock().Now().time_since_epoch()) + kDayMs};
  }

  int Control(const std::string& body) {
    return Call(m_site->control_address(), HttpCall{"POST", "/v1/faults", body}).response.status;
  }

  IoPool m_pool{2};
  BlockingHttpClient m_client;
  std::mutex m_mutex;
  std::condition_variable m_emitted;
  int m_events = 0;
  std::unique_ptr<StandinSite> m_site;
  std::string m_platform;
  std::string m_runner;
};

TEST_F(StandinSiteTest, RunnerAnswersARunCallWithTheWholeOutput) {
  EXPECT_EQ(CallRunner(FenceRequest{kOwner}).status, CallStatus::kOk);
  const RunTaskRequest run = RunTask("t1");
  const UpstreamReply reply = CallRunner(run);
  EXPECT_EQ(reply.status, CallStatus::kOk) << reply.reason;
  EXPECT_EQ(reply.output, TaskOutput(TaskId("t1"), run.spec.body));
  EXPECT_EQ(reply.output.size(), 5000U);
  EXPECT_EQ(Call(m_runner, HttpCall{"POST", "/v1/fence", "{}"}).response.status, 400);
  EXPECT_EQ(Call(m_runner, HttpCall{"GET", "/", ""}).response.status, 404);
}

// Guards against requests that are dropped by a hang, where a real process would handle them late.
TEST_F(StandinSiteTest, RequestsDuringAHangAreHandledWhenItEnds) {
  EXPECT_EQ(CallRunner(FenceRequest{kOwner}).status, CallStatus::kOk);
  EXPECT_EQ(Control(R"({"runner":{"id":"u1","hang":true}})"), 200);
  auto late = std::async(std::launch::async, [this] {
    BlockingHttpClient client;
    const HttpCall call = EncodeUpstreamRequest(RunTask("t1"));
    return client.Call(m_runner, HttpRequest{call.method, call.target, {}, call.body}, kPatience);
  });
  EXPECT_EQ(Call(m_runner, EncodeUpstreamRequest(FenceRequest{kOwner}), kImpatience).status, SendStatus::kUnknown);
  EXPECT_EQ(Control(R"({"runner":{"id":"u1","hang":false}})"), 200);
  const HttpResult result = late.get();
  ASSERT_EQ(result.status, SendStatus::kAnswered) << result.reason;
  EXPECT_EQ(DecodeUpstreamReply(result.response.body).value().status, CallStatus::kOk);
}

TEST_F(StandinSiteTest, PlatformServesRowsObjectsAndInstances) {
  const Transaction put{TransactionId("x"), {}, {{"k", "v"}}};
  EXPECT_EQ(Call(m_platform, EncodeTableRequest(put)).response.status, 200);
  const HttpResult read = Call(m_platform, EncodeTableRequest(ReadRequest{{"k"}, {}}));
  EXPECT_EQ(DecodeReadReply(read.response.body).value().rows.at(0).value, "v");
  EXPECT_EQ(Call(m_platform, HttpCall{"PUT", "/v1/objects/a%2Fb", "bytes"}).response.status, 204);
  EXPECT_EQ(Call(m_platform, HttpCall{"GET", "/v1/objects/a%2Fb", ""}).response.body, "bytes");
  EXPECT_EQ(Call(m_platform, HttpCall{"DELETE", "/v1/objects/a%2Fb", ""}).response.status, 204);
  EXPECT_EQ(Call(m_platform, HttpCall{"GET", "/v1/objects/a%2Fb", ""}).response.status, 404);
  EXPECT_EQ(Control(R"({"leaving":["u2"]})"), 200);
  const HttpResult list = Call(m_platform, HttpCall{"GET", "/v1/instances", ""});
  const InstanceList instances = *InstanceListFromJson(*ParseObject(list.response.body, ""), "");
  ASSERT_EQ(instances.upstreams.size(), 2U);
  EXPECT_EQ(instances.upstreams[0].address, m_runner);
  EXPECT_FALSE(instances.upstreams[0].leaving);
  EXPECT_TRUE(instances.upstreams[1].leaving);
}

TEST_F(StandinSiteTest, OutageEndsAndBadFaultsChangeNothing) {
  EXPECT_EQ(Control(R"({"table":{"outage":true,"latency_ms":1}})"), 200);
  const HttpCall lookup = EncodeTableRequest(LookupRequest{TransactionId("x")});
  EXPECT_EQ(Call(m_platform, lookup, kImpatience).status, SendStatus::kUnknown);
  EXPECT_EQ(Control(R"({"table":{"outage":false},"runner":{"id":"nobody","fail":true}})"), 400);
  EXPECT_EQ(Control(R"({"table":{"outage":false},"leaving":["nobody"]})"), 400);
  EXPECT_EQ(Call(m_platform, lookup, kImpatience).status, SendStatus::kUnknown);
  EXPECT_EQ(Control(R"({"table":{"outage":false}})"), 200);
  EXPECT_EQ(Call(m_platform, lookup).response.status, 200);
}

TEST_F(StandinSiteTest, ShutdownAnswersRequestsInFlight) {
  EXPECT_EQ(CallRunner(FenceRequest{kOwner}).status, CallStatus::kOk);
  auto running = std::async(std::launch::async, [this] {
    RunTaskRequest run = RunTask("t1");
    run.spec.body = R"({"run_ms":200})";
    return CallRunner(run);
  });
  {
    constexpr int kFencedAndStarted = 2;
    std::unique_lock lock(m_mutex);
    ASSERT_TRUE(m_emitted.wait_for(lock, kPatience, [this] { return m_events >= kFencedAndStarted; }));
  }
  EXPECT_TRUE(m_site->Shutdown(kPatience));
  EXPECT_EQ(running.get().result, RunnerTaskState::kSucceeded);
}

}  // namespace
}  // namespace jaymast
