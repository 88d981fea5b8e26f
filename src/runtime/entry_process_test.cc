#include "runtime/entry_process.h"

#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "core/effects.h"
#include "model/runner_codec.h"
#include "net/blocking_http_client.h"
#include "net/io_pool.h"
#include "runtime/core_driver.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{20'000};
/// No process listens on this loopback port.
constexpr const char* kClosedPortAddress = "127.0.0.1:1";

/// Core that forwards each preview to the runner at the address in its body and responds with the status of the call.
class RelayCore : public CoreDriver {
 public:
  explicit RelayCore(Effects& effects) : m_effects(effects) {}

  void Start() override { m_thread = std::this_thread::get_id(); }

  void OnRequest(RequestId id, const Request& request) override {
    if (std::holds_alternative<ViewRequest>(request)) return Send(id, CheckSecret(std::get<ViewRequest>(request)));
    if (std::holds_alternative<PlanRequest>(request)) return Commit(id);
    if (!std::holds_alternative<PreviewRequest>(request)) return;
    const auto& preview = std::get<PreviewRequest>(request);
    RunTaskRequest run;
    run.spec = preview.spec;
    m_is_calling = true;
    m_effects.CallUpstream(UpstreamId("u"), preview.spec.body, run, preview.deadline,
                           [this, id](const UpstreamReply& reply) {
                             Send(id, 200, std::string(ToString(reply.status)) + " " + reply.output);
                           });
    m_is_calling = false;
  }

  void OnRequestGone(RequestId id) override { gone.set_value(id); }
  void OnPeer(const EntryId&, const PeerMessage&) override {}
  void OnInstances(const InstanceList&) override {}
  void OnTick() override { m_deadline.reset(); }
  void OnStopRequested() override { m_is_stopped = true; }
  std::optional<Time> NextDeadline() const override { return m_deadline; }
  EntryId id() const override { return EntryId("relay.1"); }
  bool IsReady() const override { return !m_is_stopped; }
  bool IsStopped() const override { return m_is_stopped; }

  std::promise<RequestId> gone;

 private:
  static int CheckSecret(const ViewRequest& request) { return request.secret == "operator" ? 200 : 401; }

  void Commit(RequestId id) {
    m_effects.Commit(Transaction{TransactionId("t"), {}, {}},
                     [this, id](const CommitReply& reply) { Send(id, 200, std::string(ToString(reply.status))); });
  }

  void Send(RequestId id, int status, std::string body = "") {
    // Callbacks must run on the control thread, and not inside the call that registered them.
    const bool is_allowed = std::this_thread::get_id() == m_thread && !m_is_calling;
    Event event;
    event.kind = EventKind::kReplySent;
    event.request = id;
    m_effects.Emit(event);
    Response response;
    response.status = is_allowed ? status : 500;
    response.verdict = Verdict::kRan;
    response.body = std::move(body);
    response.raw = true;
    m_effects.Reply(id, response);
  }

  Effects& m_effects;
  std::thread::id m_thread;
  std::optional<Time> m_deadline;
  bool m_is_calling = false;
  bool m_is_stopped = false;
};

std::string OkReply(const std::string& output) {
  UpstreamReply reply;
  reply.status = CallStatus::kOk;
  reply.output = output;
  return EncodeUpstreamReply(reply);
}

class EntryProcessTest : public testing::Test {
 protected:
  EntryProcessTest() {
    Settings settings;
    settings.core.name = "relay";
    settings.platform.table = kClosedPortAddress;
    settings.platform.instances = kClosedPortAddress;
    settings.events.output = EventOutput::kNone;
    settings.traffic_threads = 2;
    auto process = EntryProcess::Start(settings, [this](const EntrySettings&, Effects& effects) {
      auto core = std::make_unique<RelayCore>(effects);
      m_core = core.get();
      return core;
    });
    m_process = std::move(*process);
  }

  ~EntryProcessTest() override { m_pool.Stop(); }

  std::string StartRunner(HttpServer::Handler handler) {
    m_runner = std::move(*HttpServer::Listen(m_pool, HttpServerOptions{}, std::move(handler)));
    return m_runner->address();
  }

  HttpResponse Call(const std::string& method, const std::string& target, const std::string& body = "",
                    HttpHeaders headers = {}) {
    const HttpRequest request{method, target, std::move(headers), body};
    return m_client.Call(m_process->http_address(), request, kTimeout).response;
  }

  std::string Preview(const std::string& runner, const std::string& deadline_ms = "20000") {
    const std::string body = R"({"team":"t","body":")" + runner + "\"}";
    return Call("POST", "/v1/previews", body, {{"Jaymast-Deadline-Ms", deadline_ms}}).body;
  }

  IoPool m_pool{1};
  std::unique_ptr<HttpServer> m_runner;
  RelayCore* m_core = nullptr;
  std::unique_ptr<EntryProcess> m_process;
  BlockingHttpClient m_client;
};

TEST_F(EntryProcessTest, PreviewReturnsTheOutputOfTheRunner) {
  const std::string runner = StartRunner([](const HttpRequest&, const HttpResponder& responder) {
    responder.Respond(HttpResponse{200, {}, OkReply("drawing")});
  });
  EXPECT_EQ(Preview(runner), "ok drawing");
}

// Guards G7: a call is reported as "not sent" only if the runner cannot have received the request.
TEST_F(EntryProcessTest, CallsEndByTheirDeadlineAsNotSentOrUnknown) {
  const std::string unresponsive_runner = StartRunner([](const HttpRequest&, const HttpResponder&) {});
  EXPECT_EQ(Preview(kClosedPortAddress), "not_sent ");
  EXPECT_EQ(Preview(unresponsive_runner, "100"), "unknown ");
}

TEST_F(EntryProcessTest, OutcomeIsUnknownAfterAMalformedOrFailedRunnerResponse) {
  int status = 200;
  const std::string runner = StartRunner([&status](const HttpRequest&, const HttpResponder& responder) {
    responder.Respond(HttpResponse{status, {}, "not json"});
  });
  EXPECT_EQ(Preview(runner), "unknown ");
  status = 500;
  EXPECT_EQ(Preview(runner), "unknown ");
}

TEST_F(EntryProcessTest, CommitWithoutTheTableServiceIsNotSent) {
  const std::string body = R"({"intents":[{"type":"domain_out","domain":"north"}]})";
  EXPECT_EQ(Call("POST", "/v1/plans", body).body, "not_sent");
}

TEST_F(EntryProcessTest, MalformedRequestIsRefusedAsNotRun) {
  const HttpResponse response = Call("POST", "/v1/tasks", "{");
  EXPECT_EQ(response.status, 400);
  EXPECT_EQ(FindHeader(response.headers, "Jaymast-Verdict"), "not_run");
}

TEST_F(EntryProcessTest, EventsNeedTheKeyThatTheCoreAccepts) {
  Preview(kClosedPortAddress);
  EXPECT_EQ(Call("GET", "/v1/events").status, 401);
  const HttpResponse events = Call("GET", "/v1/events?since=0", "", {{"Authorization", "Bearer operator"}});
  EXPECT_EQ(events.status, 200);
  EXPECT_NE(events.body.find(R"("process":"relay","event":"reply_sent","request":1)"), std::string::npos);
  const std::string next(FindHeader(events.headers, "Jaymast-Next-Event"));
  EXPECT_EQ(next, "3");
  EXPECT_EQ(events.body.find("secret"), std::string::npos);
}

TEST_F(EntryProcessTest, ServesHealthAndMetrics) {
  Preview(kClosedPortAddress);
  EXPECT_EQ(Call("GET", "/healthz").status, 200);
  EXPECT_EQ(Call("GET", "/readyz").status, 200);
  const std::string metrics = Call("GET", "/metrics").body;
  for (const char* line : {"jaymast_preview_seconds_count 1", "jaymast_decision_seconds_count 1",
                           "jaymast_upstream_call_seconds_count 1", "jaymast_responses_total{verdict=\"ran\"} 1",
                           "jaymast_open_requests 0", "jaymast_control_busy_seconds_total"}) {
    EXPECT_NE(metrics.find(line), std::string::npos) << line << " is missing in\n" << metrics;
  }
}

TEST_F(EntryProcessTest, CoreIsNotifiedWhenTheClientDisconnects) {
  // RelayCore never responds to a task status request.
  const HttpRequest request{"GET", "/v1/tasks/t1?wait_ms=1000", {}, ""};
  m_client.Call(m_process->http_address(), request, milliseconds(50));
  EXPECT_EQ(m_core->gone.get_future().wait_for(kTimeout), std::future_status::ready);
}

// Guards G10: the response to a request in flight is sent before the process stops.
TEST_F(EntryProcessTest, GracefulStopCompletesTheRequestInFlight) {
  std::promise<HttpResponder> received;
  const std::string runner =
      StartRunner([&received](const HttpRequest&, const HttpResponder& responder) { received.set_value(responder); });
  std::future<std::string> preview_body = std::async(std::launch::async, [this, &runner] { return Preview(runner); });
  const HttpResponder responder = received.get_future().get();
  m_process->RequestStop();
  std::future<bool> stopped = std::async(std::launch::async, [this] { return m_process->WaitUntilStopped(kTimeout); });
  responder.Respond(HttpResponse{200, {}, OkReply("finished")});
  EXPECT_EQ(preview_body.get(), "ok finished");
  EXPECT_TRUE(stopped.get());
}

TEST_F(EntryProcessTest, PortInUseIsReportedWithTheAddress) {
  Settings settings;
  settings.http.address = m_process->http_address();
  settings.platform.table = kClosedPortAddress;
  settings.platform.instances = kClosedPortAddress;
  settings.events.output = EventOutput::kNone;
  const auto second = EntryProcess::Start(
      settings, [](const EntrySettings&, Effects& effects) { return std::make_unique<RelayCore>(effects); });
  ASSERT_FALSE(second);
  EXPECT_EQ(second.error().path, settings.http.address);
}

}  // namespace
}  // namespace jaymast
