#include <gtest/gtest.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net/blocking_http_client.h"
#include "net/endpoint.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/io_pool.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::string_literals::operator""s;
using Tcp = boost::asio::ip::tcp;

/// Limit on waits for events that must happen. Tests do not depend on how soon they do.
constexpr milliseconds kTestTimeout{20'000};
/// More than the event loop handles in one step.
constexpr int kManyConnections = 400;
constexpr milliseconds kBlockedTime{800};
/// After the grace period of a shutdown.
constexpr milliseconds kGracePassed{400};
constexpr milliseconds kSlowHandler{2};

void Echo(const HttpRequest& request, const HttpResponder& responder) {
  HttpResponse response;
  response.headers.emplace_back("Echo-Target", request.method + " " + request.target);
  response.body = request.body;
  responder.Respond(std::move(response));
}

HttpRequest Post(std::string target, std::string body) {
  return HttpRequest{"POST", std::move(target), {}, std::move(body)};
}

/// Sends bytes over a new connection and reads until the server closes it.
std::string RawExchange(const std::string& address, const std::string& bytes) {
  boost::asio::io_context context;
  Tcp::socket socket(context);
  socket.connect(*ParseEndpoint(address));
  boost::asio::write(socket, boost::asio::buffer(bytes));
  std::string received_bytes;
  boost::system::error_code ec;
  boost::asio::read(socket, boost::asio::dynamic_buffer(received_bytes), ec);
  return received_bytes;
}

class HttpTest : public testing::Test {
 protected:
  void Listen(HttpServer::Handler handler, HttpServerOptions options = {}) {
    auto server = HttpServer::Listen(m_pool, std::move(options), std::move(handler));
    ASSERT_TRUE(server) << server.error().reason;
    m_server = std::move(*server);
  }

  ~HttpTest() override { m_pool.Stop(); }

  /// Sends a request with the given body to an address.
  static std::future<HttpResult> Send(HttpClient& client, const std::string& address, const std::string& body,
                                      milliseconds timeout = kTestTimeout) {
    auto result = std::make_shared<std::promise<HttpResult>>();
    client.Send(address, Post("/", body), std::chrono::steady_clock::now() + timeout,
                [result](HttpResult value) { result->set_value(std::move(value)); });
    return result->get_future();
  }

  /// Waits until a condition holds.
  static bool WaitFor(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
    while (!condition()) {
      if (std::chrono::steady_clock::now() >= deadline) return false;
      std::this_thread::sleep_for(milliseconds(1));
    }
    return true;
  }

  /// Keeps all threads of the pool busy for longer than connections stay open after a shutdown begins.
  void BlockThreads() {
    for (std::size_t i = 0; i < m_pool.size(); ++i) {
      boost::asio::post(m_pool.Context(i), [] { std::this_thread::sleep_for(kBlockedTime); });
    }
  }

  /// Number of connections with a response, after the server has closed them all.
  static int CountServed(std::vector<Tcp::socket>& sockets) {
    int served = 0;
    for (Tcp::socket& socket : sockets) {
      std::string response;
      boost::system::error_code ec;
      boost::asio::read(socket, boost::asio::dynamic_buffer(response), ec);
      if (response.starts_with("HTTP/1.1 200") && response.ends_with("\r\n\r\nx")) ++served;
    }
    return served;
  }

  IoPool m_pool{2};
  std::unique_ptr<HttpServer> m_server;
};

// Guards against a process that ends because it relays a request whose method does not allow a body.
TEST_F(HttpTest, AnyMethodMayHaveABody) {
  Listen(Echo);
  BlockingHttpClient client;
  for (const char* method : {"TRACE", "GET", "DELETE", "HEAD", "OPTIONS", "POST", "UNKNOWN"}) {
    const HttpResult result = client.Call(m_server->address(), HttpRequest{method, "/a", {}, "body"}, kTestTimeout);
    ASSERT_EQ(result.status, SendStatus::kAnswered) << method << ": " << result.reason;
  }
}

// Guards against an interim response that is taken for the final one of a relayed request.
TEST_F(HttpTest, RequestThatExpectsContinueGetsFinalResponse) {
  Listen(Echo);
  BlockingHttpClient client;
  const HttpRequest request{"POST", "/a", {{"Expect", "100-continue"}}, std::string(100'000, 'x')};
  const HttpResult result = client.Call(m_server->address(), request, kTestTimeout);
  ASSERT_EQ(result.status, SendStatus::kAnswered) << result.reason;
  EXPECT_EQ(result.response.status, 200);
  EXPECT_EQ(result.response.body, request.body);
}

// Guards against truncated bodies, and against a new connection for each request.
TEST_F(HttpTest, ReturnsTheWholeBodyOverOneConnection) {
  Listen(Echo);
  BlockingHttpClient client;
  for (const std::size_t size : {0U, 1U, 100'000U, 3'000'000U}) {
    const std::string body(size, 'x');
    const HttpResult result = client.Call(m_server->address(), Post("/a?b=c", body), kTestTimeout);
    ASSERT_EQ(result.status, SendStatus::kAnswered) << result.reason;
    EXPECT_EQ(result.response.body, body);
    EXPECT_EQ(FindHeader(result.response.headers, "echo-target"), "POST /a?b=c");
  }
  EXPECT_EQ(m_server->open_connections(), 1U);
}

// Load pattern: an event loop with many ready connections, in which each read of a message waits for one turn.
// Guards against replies that are read in so small pieces that a list of 200 KB takes seconds.
TEST_F(HttpTest, LargeReplyIsReadInFewSteps) {
  constexpr std::size_t kBodyBytes = 256U << 10U;
  constexpr std::size_t kMinBytesPerRead = 4096;
  Listen([](const HttpRequest&, const HttpResponder& responder) {
    responder.Respond({200, {}, std::string(kBodyBytes, 'x')});
  });
  BlockingHttpClient client;
  for (int i = 0; i < 2; ++i) {
    const HttpResult result = client.Call(m_server->address(), Post("/list", ""), kTestTimeout);
    ASSERT_EQ(result.response.body.size(), kBodyBytes);
    EXPECT_LE(result.reads, kBodyBytes / kMinBytesPerRead) << "request " << i << " of the connection";
  }
}

// Guards against requests of the usual size that take one turn of the event loop for each 512 bytes.
TEST_F(HttpTest, RequestIsReadInFewSteps) {
  constexpr std::size_t kBodyBytes = 4000;
  Listen(Echo);
  BlockingHttpClient client;
  for (int i = 0; i < 2; ++i) {
    const HttpResult result =
        client.Call(m_server->address(), Post("/job", std::string(kBodyBytes, 'x')), kTestTimeout);
    ASSERT_EQ(result.response.body.size(), kBodyBytes);
  }
  EXPECT_EQ(m_server->LimitMetrics().at("requests"), 2);
  EXPECT_LE(m_server->LimitMetrics().at("body_reads"), 4);
}

// Guards against headers of a client that replace those that the instance states for itself.
TEST_F(HttpTest, FirstOfRepeatedHeadersIsKept) {
  Listen([](const HttpRequest& request, const HttpResponder& responder) {
    responder.Respond({200, {}, std::string(FindHeader(request.headers, "Jaymast-Deadline"))});
  });
  HttpClient client(m_pool, {});
  std::promise<HttpResult> result;
  HttpRequest request = Post("/", "");
  request.headers = {{"Jaymast-Deadline", "own"}, {"jaymast-deadline", "client"}};
  client.Send(m_server->address(), std::move(request), std::chrono::steady_clock::now() + kTestTimeout,
              [&result](HttpResult value) { result.set_value(std::move(value)); });
  EXPECT_EQ(result.get_future().get().response.body, "own");
}

// Guards against a request that was never sent being reported as possibly run, which prevents a retry.
TEST_F(HttpTest, ConnectionRefusedIsNotSent) {
  boost::asio::io_context context;
  // The socket is bound but does not listen, so connections to its port are refused.
  Tcp::acceptor reserved(context, Tcp::v4());
  reserved.bind(Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  BlockingHttpClient client;
  const HttpResult result = client.Call(FormatEndpoint(reserved.local_endpoint()), Post("/", "x"), kTestTimeout);
  EXPECT_EQ(result.status, SendStatus::kNotSent) << result.reason;
}

// Guards against a request that may have run being reported as not sent.
TEST_F(HttpTest, ConnectionClosedWithoutAResponseIsUnknown) {
  boost::asio::io_context context;
  Tcp::acceptor acceptor(context, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  const std::string address = FormatEndpoint(acceptor.local_endpoint());
  std::future<void> server = std::async(std::launch::async, [&acceptor] {
    Tcp::socket socket = acceptor.accept();
    std::array<char, 64> bytes{};
    socket.read_some(boost::asio::buffer(bytes));
  });
  BlockingHttpClient client;
  EXPECT_EQ(client.Call(address, Post("/", "x"), kTestTimeout).status, SendStatus::kUnknown);
  server.get();
}

// Guards against a late response being delivered to the next request on the same connection.
TEST_F(HttpTest, LateResponseNeverReachesAnotherRequest) {
  std::promise<HttpResponder> late;
  Listen([&late](const HttpRequest& request, const HttpResponder& responder) {
    if (request.body == "late") return late.set_value(responder);
    Echo(request, responder);
  });
  HttpClientOptions options;
  options.max_connections_per_host = 1;
  HttpClient client(m_pool, options);
  std::promise<HttpResult> first;
  client.Send(m_server->address(), Post("/", "late"), std::chrono::steady_clock::now() + milliseconds(50),
              [&first](HttpResult result) { first.set_value(std::move(result)); });
  EXPECT_EQ(first.get_future().get().status, SendStatus::kUnknown);
  late.get_future().get().Respond(HttpResponse{200, {}, "late"});
  std::promise<HttpResult> second;
  client.Send(m_server->address(), Post("/", "second"), std::chrono::steady_clock::now() + kTestTimeout,
              [&second](HttpResult result) { second.set_value(std::move(result)); });
  EXPECT_EQ(second.get_future().get().response.body, "second");
}

// Guards against mixed-up responses when requests complete out of order, and against second responses to a request.
TEST_F(HttpTest, OutOfOrderResponsesReachTheirOwnRequests) {
  constexpr int kRequests = 8;
  std::mutex mutex;
  std::vector<std::pair<HttpRequest, HttpResponder>> waiting;
  Listen([&](const HttpRequest& request, const HttpResponder& responder) {
    const std::lock_guard lock(mutex);
    waiting.emplace_back(request, responder);
    if (waiting.size() < kRequests) return;
    for (auto it = waiting.rbegin(); it != waiting.rend(); ++it) {
      Echo(it->first, it->second);
      it->second.Respond(HttpResponse{200, {}, "second response"});
    }
    waiting.clear();
  });
  HttpClient client(m_pool, {});
  for (int round = 0; round < 5; ++round) {
    std::vector<std::promise<HttpResult>> results(kRequests);
    for (int i = 0; i < kRequests; ++i) {
      client.Send(m_server->address(), Post("/", std::to_string(i)), std::chrono::steady_clock::now() + kTestTimeout,
                  [&results, i](HttpResult result) { results[i].set_value(std::move(result)); });
    }
    for (int i = 0; i < kRequests; ++i) EXPECT_EQ(results[i].get_future().get().response.body, std::to_string(i));
  }
}

// Guards against a request that is still queued at its deadline being sent later or reported as possibly run.
TEST_F(HttpTest, QueuedRequestPastItsDeadlineIsNotSent) {
  Listen([](const HttpRequest&, const HttpResponder&) {});
  HttpClientOptions options;
  options.max_connections_per_host = 1;
  HttpClient client(m_pool, options);
  std::promise<HttpResult> first;
  std::promise<HttpResult> second;
  const auto now = std::chrono::steady_clock::now();
  client.Send(m_server->address(), Post("/", ""), now + milliseconds(300),
              [&first](HttpResult result) { first.set_value(std::move(result)); });
  client.Send(m_server->address(), Post("/", ""), now + milliseconds(100),
              [&second](HttpResult result) { second.set_value(std::move(result)); });
  EXPECT_EQ(second.get_future().get().status, SendStatus::kNotSent);
  EXPECT_EQ(first.get_future().get().status, SendStatus::kUnknown);
}

// Guards against overload between instances that no metric shows: queued requests, missed deadlines and new
// connections.
TEST_F(HttpTest, ClientCountsConnectionsAndMissedDeadlines) {
  Listen([](const HttpRequest& request, const HttpResponder& responder) {
    if (request.body != "silent") Echo(request, responder);
  });
  HttpClientOptions options;
  options.max_connections_per_host = 1;
  HttpClient client(m_pool, options);
  Send(client, m_server->address(), "a").get();
  Send(client, m_server->address(), "b").get();
  EXPECT_EQ(client.LoadMetrics()["idle_connections"], 1);
  auto unanswered = Send(client, m_server->address(), "silent", milliseconds(200));
  auto queued = Send(client, m_server->address(), "c", milliseconds(100));
  EXPECT_EQ(queued.get().status, SendStatus::kNotSent);
  EXPECT_EQ(unanswered.get().status, SendStatus::kUnknown);
  std::map<std::string, double> metrics = client.LoadMetrics();
  EXPECT_EQ(metrics["connects"], 1);
  EXPECT_EQ(metrics["failed_connects"], 0);
  EXPECT_EQ(metrics["requests"], 3);
  EXPECT_EQ(metrics["reused_requests"], 2);
  EXPECT_EQ(metrics["missed_queued"], 1);
  EXPECT_EQ(metrics["missed_sent"], 1);
  EXPECT_EQ(metrics["queued"], 0);
  EXPECT_EQ(metrics["oldest_queued_seconds"], 0);
}

// Load pattern: bursts of requests that the server answers a little after their deadlines.
// Guards against overload that makes every missed deadline cost a new connection.
TEST_F(HttpTest, LateResponsesCostFewConnections) {
  constexpr std::size_t kRounds = 10;
  constexpr std::size_t kBurst = 8;
  std::mutex mutex;
  std::vector<HttpResponder> waiting;
  std::size_t received = 0;
  Listen([&](const HttpRequest&, const HttpResponder& responder) {
    const std::lock_guard lock(mutex);
    waiting.push_back(responder);
    ++received;
  });
  HttpClientOptions options;
  options.closes_idle_on_timeout = true;
  HttpClient client(m_pool, options);
  for (std::size_t round = 0; round < kRounds; ++round) {
    std::vector<std::future<HttpResult>> results;
    results.reserve(kBurst);
    for (std::size_t i = 0; i < kBurst; ++i) {
      results.push_back(Send(client, m_server->address(), "late", milliseconds(50)));
    }
    for (auto& result : results) EXPECT_NE(result.get().status, SendStatus::kAnswered);
    ASSERT_TRUE(WaitFor([&] {
      const std::lock_guard lock(mutex);
      return static_cast<double>(received) == client.LoadMetrics()["requests"];
    }));
    const std::lock_guard lock(mutex);
    for (const HttpResponder& responder : waiting) responder.Respond(HttpResponse{200, {}, "late"});
    waiting.clear();
    ASSERT_TRUE(WaitFor([&] {
      std::map<std::string, double> metrics = client.LoadMetrics();
      return metrics["open_connections"] == metrics["idle_connections"];
    }));
  }
  EXPECT_LE(client.LoadMetrics()["connects"], static_cast<double>(2 * kBurst));
}

// Guards against a missed deadline that closes idle connections which have worked since that request was sent.
TEST_F(HttpTest, MissedDeadlineKeepsIdleConnectionsThatWork) {
  std::mutex mutex;
  std::vector<std::pair<HttpRequest, HttpResponder>> waiting;
  std::promise<void> late_received;
  Listen([&](const HttpRequest& request, const HttpResponder& responder) {
    if (request.body == "late") return late_received.set_value();
    if (request.body != "paired") return Echo(request, responder);
    const std::lock_guard lock(mutex);
    waiting.emplace_back(request, responder);
    if (waiting.size() < 2) return;
    for (const auto& [paired_request, paired_responder] : waiting) Echo(paired_request, paired_responder);
  });
  HttpClientOptions options;
  options.closes_idle_on_timeout = true;
  HttpClient client(m_pool, options);
  auto first = Send(client, m_server->address(), "paired");
  auto second = Send(client, m_server->address(), "paired");
  first.get();
  second.get();
  auto late = Send(client, m_server->address(), "late", milliseconds(1000));
  late_received.get_future().wait();
  EXPECT_EQ(Send(client, m_server->address(), "a").get().response.body, "a");
  EXPECT_EQ(late.get().status, SendStatus::kUnknown);
  EXPECT_EQ(Send(client, m_server->address(), "b").get().response.body, "b");
  EXPECT_EQ(client.LoadMetrics()["connects"], 2);
  EXPECT_EQ(client.LoadMetrics()["idle_closed_by_miss"], 0);
}

// Guards against requests on idle connections that are dead: open connections may go silent, without a reset, while new
// ones work.
TEST_F(HttpTest, SilentIdleConnectionsAreNotUsedAgain) {
  boost::asio::io_context context;
  Tcp::acceptor acceptor(context, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  const std::string address = FormatEndpoint(acceptor.local_endpoint());
  std::future<void> server = std::async(std::launch::async, [&acceptor] {
    const auto answer = [](Tcp::socket& socket, const std::string& body) {
      std::string request;
      boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\nx");
      const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n" + body;
      boost::asio::write(socket, boost::asio::buffer(response));
    };
    Tcp::socket first = acceptor.accept();
    Tcp::socket second = acceptor.accept();
    answer(first, "old");
    answer(second, "old");
    Tcp::socket third = acceptor.accept();
    answer(third, "new");
  });
  HttpClientOptions options;
  options.closes_idle_on_timeout = true;
  HttpClient client(m_pool, options);
  auto first = Send(client, address, "x");
  auto second = Send(client, address, "x");
  EXPECT_EQ(first.get().response.body, "old");
  EXPECT_EQ(second.get().response.body, "old");
  EXPECT_EQ(Send(client, address, "x", milliseconds(50)).get().status, SendStatus::kUnknown);
  EXPECT_TRUE(WaitFor([&client] { return client.LoadMetrics()["idle_connections"] == 0; }));
  EXPECT_EQ(client.LoadMetrics()["idle_closed_by_miss"], 1);
  EXPECT_EQ(Send(client, address, "x").get().response.body, "new");
  server.get();
}

// Guards against a connection that takes a request while the late response to another one is still being read, and
// against one that is not used again afterwards.
TEST_F(HttpTest, ConnectionIsUsedAgainOnceItsLateResponseIsRead) {
  boost::asio::io_context context;
  Tcp::acceptor acceptor(context, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  const std::string address = FormatEndpoint(acceptor.local_endpoint());
  std::promise<void> is_second_answered;
  std::future<void> server = std::async(std::launch::async, [&acceptor, &is_second_answered] {
    const auto read = [](Tcp::socket& socket) {
      std::string request;
      boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\nx");
    };
    const auto write = [](Tcp::socket& socket, const std::string& bytes) {
      boost::asio::write(socket, boost::asio::buffer(bytes));
    };
    const std::string header = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
    Tcp::socket first = acceptor.accept();
    read(first);
    write(first, header + "la");
    Tcp::socket second = acceptor.accept();
    read(second);
    write(second, header + "next");
    is_second_answered.get_future().wait();
    write(first, "te");
    read(first);
    write(first, header + "last");
  });
  HttpClientOptions options;
  options.late_response_time = 10 * kTestTimeout;
  HttpClient client(m_pool, options);
  EXPECT_EQ(Send(client, address, "x", milliseconds(50)).get().status, SendStatus::kUnknown);
  EXPECT_EQ(Send(client, address, "x").get().response.body, "next");
  EXPECT_EQ(client.LoadMetrics()["late_connections"], 1);
  is_second_answered.set_value();
  EXPECT_TRUE(WaitFor([&client] { return client.LoadMetrics()["idle_connections"] == 2; }));
  EXPECT_EQ(Send(client, address, "x").get().response.body, "last");
  server.get();
  EXPECT_EQ(client.LoadMetrics()["late_responses"], 1);
  EXPECT_EQ(client.LoadMetrics()["connects"], 2);
}

// Guards against late responses that take memory and the link from requests whose callers still wait.
TEST_F(HttpTest, LargeLateResponseIsNotRead) {
  std::promise<HttpResponder> late;
  Listen([&late](const HttpRequest&, const HttpResponder& responder) { late.set_value(responder); });
  HttpClientOptions options;
  options.late_response_time = 10 * kTestTimeout;
  HttpClient client(m_pool, options);
  EXPECT_EQ(Send(client, m_server->address(), "late", milliseconds(50)).get().status, SendStatus::kUnknown);
  late.get_future().get().Respond(HttpResponse{200, {}, std::string(1'000'000, 'x')});
  EXPECT_TRUE(WaitFor([&client] { return client.LoadMetrics()["open_connections"] == 0; }));
  EXPECT_EQ(client.LoadMetrics()["late_responses"], 0);
  EXPECT_EQ(client.LoadMetrics()["closed_by_miss"], 1);
  EXPECT_EQ(client.held_bytes(), 0U);
}

// Guards against connections that wait for a late response without end.
TEST_F(HttpTest, ConnectionWithoutALateResponseIsClosed) {
  Listen([](const HttpRequest&, const HttpResponder&) {});
  HttpClientOptions options;
  options.late_response_time = milliseconds(50);
  HttpClient client(m_pool, options);
  EXPECT_EQ(Send(client, m_server->address(), "late", milliseconds(50)).get().status, SendStatus::kUnknown);
  EXPECT_TRUE(WaitFor([&client] { return client.LoadMetrics()["open_connections"] == 0; }));
  EXPECT_TRUE(WaitFor([this] { return m_server->open_connections() == 0; }));
}

// Load pattern: half of the connections wait for late responses, the others for responses that are in time.
// Guards against requests that wait for a connection behind responses that nobody waits for.
TEST_F(HttpTest, LateResponsesKeepNoRequestWaiting) {
  Listen([](const HttpRequest& request, const HttpResponder& responder) {
    if (request.body == "next") Echo(request, responder);
  });
  HttpClientOptions options;
  options.max_connections_per_host = 4;
  options.late_response_time = 10 * kTestTimeout;
  HttpClient client(m_pool, options);
  std::vector<std::future<HttpResult>> late;
  late.reserve(4);
  for (int i = 0; i < 2; ++i) late.push_back(Send(client, m_server->address(), "late", milliseconds(50)));
  for (auto& result : late) EXPECT_EQ(result.get().status, SendStatus::kUnknown);
  for (int i = 0; i < 2; ++i) late.push_back(Send(client, m_server->address(), "poll", 10 * kTestTimeout));
  EXPECT_EQ(Send(client, m_server->address(), "next", milliseconds(500)).get().status, SendStatus::kAnswered);
}

// Guards against requests that get no connection because all of them wait for late responses.
TEST_F(HttpTest, LateResponsesLeaveHalfOfTheConnections) {
  std::mutex mutex;
  std::vector<std::pair<HttpRequest, HttpResponder>> waiting;
  Listen([&](const HttpRequest& request, const HttpResponder& responder) {
    if (request.body == "late") return;
    const std::lock_guard lock(mutex);
    waiting.emplace_back(request, responder);
    if (waiting.size() < 2) return;
    for (const auto& [paired_request, paired_responder] : waiting) Echo(paired_request, paired_responder);
  });
  HttpClientOptions options;
  options.max_connections_per_host = 4;
  options.late_response_time = 10 * kTestTimeout;
  HttpClient client(m_pool, options);
  std::vector<std::future<HttpResult>> late;
  late.reserve(4);
  for (int i = 0; i < 4; ++i) late.push_back(Send(client, m_server->address(), "late", milliseconds(200)));
  for (auto& result : late) EXPECT_EQ(result.get().status, SendStatus::kUnknown);
  EXPECT_TRUE(WaitFor([&client] { return client.LoadMetrics()["late_connections"] == 4; }));
  auto first = Send(client, m_server->address(), "a");
  auto second = Send(client, m_server->address(), "b");
  EXPECT_EQ(first.get().response.body, "a");
  EXPECT_EQ(second.get().response.body, "b");
  EXPECT_EQ(client.LoadMetrics()["late_connections"], 2);
  EXPECT_EQ(client.LoadMetrics()["closed_by_miss"], 2);
}

// Load pattern: many connections that arrive while the event loop is busy.
// Guards against connections that wait in the backlog because each turn of the loop accepts only one.
TEST_F(HttpTest, WaitingConnectionsAreAcceptedInFewTurns) {
  constexpr int kConnections = 100;
  constexpr double kMaxTurns = 10;
  Listen(Echo);
  BlockThreads();
  boost::asio::io_context context;
  std::vector<Tcp::socket> sockets;
  sockets.reserve(kConnections);
  for (int i = 0; i < kConnections; ++i) {
    sockets.emplace_back(context);
    sockets.back().connect(*ParseEndpoint(m_server->address()));
  }
  ASSERT_TRUE(WaitFor([this] { return m_server->LimitMetrics().at("accepted") == kConnections; }));
  EXPECT_LE(m_server->LimitMetrics().at("accept_turns"), kMaxTurns);
}

// Guards against clients that hold connections open with incomplete requests.
TEST_F(HttpTest, IncompleteHeadersAndBodiesTimeOut) {
  HttpServerOptions options;
  options.header_timeout = milliseconds(50);
  options.body_timeout = milliseconds(50);
  Listen(Echo, options);
  EXPECT_EQ(RawExchange(m_server->address(), "POST / HTTP/1.1\r\nHost: x\r\n"), "");
  EXPECT_EQ(RawExchange(m_server->address(), "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc"), "");
}

// Guards against oversized or malformed requests reaching the handler, or being rejected without the verdict "not_run".
TEST_F(HttpTest, RejectsOversizedAndMalformedRequestsAsNotRun) {
  HttpServerOptions options;
  options.max_body_bytes = 10;
  options.max_header_bytes = 200;
  Listen(Echo, options);
  const std::string big_body = RawExchange(m_server->address(), "POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
  EXPECT_NE(big_body.find("413"), std::string::npos) << big_body;
  EXPECT_NE(big_body.find("Jaymast-Verdict: not_run"), std::string::npos) << big_body;
  const std::string big_header =
      RawExchange(m_server->address(), "GET / HTTP/1.1\r\nA: " + std::string(300, 'a') + "\r\n\r\n");
  EXPECT_NE(big_header.find("431"), std::string::npos) << big_header;
  const std::string malformed = RawExchange(m_server->address(), "nonsense\r\n\r\n");
  EXPECT_NE(malformed.find("400"), std::string::npos) << malformed;
}

// Guards against connections above the limit being served, or closed without a response.
TEST_F(HttpTest, RejectsConnectionsAboveTheLimit) {
  HttpServerOptions options;
  options.max_connections = 1;
  Listen(Echo, options);
  BlockingHttpClient client;
  ASSERT_EQ(client.Call(m_server->address(), Post("/", "x"), kTestTimeout).response.status, 200);
  EXPECT_NE(RawExchange(m_server->address(), "").find("503"), std::string::npos);
  EXPECT_EQ(m_server->refused_connections(), 1U);
}

// Guards against a request staying open after its client disconnected.
TEST_F(HttpTest, ReportsClientDisconnect) {
  std::promise<void> gone;
  Listen(
      [&gone](const HttpRequest&, const HttpResponder& responder) { responder.OnGone([&gone] { gone.set_value(); }); });
  HttpClient client(m_pool, {});
  client.Send(m_server->address(), Post("/", ""), std::chrono::steady_clock::now() + milliseconds(50),
              [](const HttpResult&) {});
  EXPECT_EQ(gone.get_future().wait_for(kTestTimeout), std::future_status::ready);
}

// Guards against requests without a client that no metric shows, and against served ones that count as such.
TEST_F(HttpTest, CountsRequestsWhoseClientLeft) {
  std::promise<void> gone;
  Listen([&gone](const HttpRequest& request, const HttpResponder& responder) {
    if (request.body == "served") return responder.Respond({200, {}, ""});
    responder.OnGone([&gone] { gone.set_value(); });
  });
  BlockingHttpClient served;
  ASSERT_EQ(served.Call(m_server->address(), Post("/", "served"), kTestTimeout).response.status, 200);
  HttpClient client(m_pool, {});
  client.Send(m_server->address(), Post("/", ""), std::chrono::steady_clock::now() + milliseconds(50),
              [](const HttpResult&) {});
  ASSERT_EQ(gone.get_future().wait_for(kTestTimeout), std::future_status::ready);
  EXPECT_EQ(m_server->LimitMetrics().at("abandoned_requests"), 1);
}

// Guards against a graceful shutdown aborting a request in flight (G10).
TEST_F(HttpTest, ShutdownFinishesTheRequestInFlight) {
  std::promise<HttpResponder> received;
  Listen([&received](const HttpRequest&, const HttpResponder& responder) { received.set_value(responder); });
  std::future<HttpResult> result = std::async(std::launch::async, [this] {
    BlockingHttpClient client;
    return client.Call(m_server->address(), Post("/", "x"), kTestTimeout);
  });
  const HttpResponder responder = received.get_future().get();
  m_server->BeginShutdown();
  EXPECT_FALSE(m_server->WaitForShutdown(milliseconds(10)));
  responder.Respond(HttpResponse{200, {}, "finished"});
  EXPECT_EQ(result.get().response.body, "finished");
  EXPECT_TRUE(m_server->WaitForShutdown(kTestTimeout));
}

// Guards against requests that arrived on idle connections while the threads were busy, and that are discarded when the
// grace period of the shutdown ends.
TEST_F(HttpTest, ShutdownServesRequestsThatWaitForABusyThread) {
  Listen(Echo);
  boost::asio::io_context context;
  std::vector<Tcp::socket> sockets;
  const std::string request = "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx";
  for (int i = 0; i < kManyConnections; ++i) {
    sockets.emplace_back(context).connect(*ParseEndpoint(m_server->address()));
    boost::asio::write(sockets.back(), boost::asio::buffer(request));
    std::string response;
    boost::asio::read_until(sockets.back(), boost::asio::dynamic_buffer(response), "\r\n\r\nx");
  }
  m_server->BeginShutdown();
  for (std::size_t i = 0; i < m_pool.size(); ++i) m_pool.RunAndWait(i, [] {});
  BlockThreads();
  std::this_thread::sleep_for(kGracePassed);
  for (Tcp::socket& socket : sockets) boost::asio::write(socket, boost::asio::buffer(request));
  EXPECT_EQ(CountServed(sockets), kManyConnections);
  EXPECT_TRUE(m_server->WaitForShutdown(kTestTimeout));
}

// Guards against connections from the backlog that are closed before their request is read, because the requests of the
// others take longer than the grace period of the shutdown.
TEST_F(HttpTest, ShutdownServesTheBacklogOfABusyServer) {
  Listen([](const HttpRequest& request, const HttpResponder& responder) {
    std::this_thread::sleep_for(kSlowHandler);
    Echo(request, responder);
  });
  BlockThreads();
  boost::asio::io_context context;
  std::vector<Tcp::socket> sockets;
  for (int i = 0; i < kManyConnections; ++i) {
    sockets.emplace_back(context).connect(*ParseEndpoint(m_server->address()));
    boost::asio::write(sockets.back(), boost::asio::buffer("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"s));
  }
  m_server->BeginShutdown();
  EXPECT_EQ(CountServed(sockets), kManyConnections);
  EXPECT_TRUE(m_server->WaitForShutdown(kTestTimeout));
}

// Guards against a refusal that the client does not get, because its connection is reset while it still sends.
TEST_F(HttpTest, RefusedRequestGetsItsResponseWhileItsClientSends) {
  Listen(Echo);
  boost::asio::io_context context;
  Tcp::socket socket(context);
  socket.connect(*ParseEndpoint(m_server->address()));
  const std::string part(1'000'000, 'x');
  boost::asio::write(socket, boost::asio::buffer("POST / HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n" + part));
  while (m_server->LimitMetrics()["body_reads"] < 1) std::this_thread::sleep_for(milliseconds(1));
  m_server->RefuseRequests();
  // A server that closed the connection would have done so by now.
  std::this_thread::sleep_for(milliseconds(100));
  boost::system::error_code ec;
  for (int i = 0; i < 3; ++i) boost::asio::write(socket, boost::asio::buffer(part), ec);
  EXPECT_FALSE(ec) << ec.message();
  std::string response;
  boost::asio::read(socket, boost::asio::dynamic_buffer(response), ec);
  EXPECT_EQ(ec, boost::asio::error::eof);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 503")) << response;
  EXPECT_NE(response.find("Jaymast-Verdict: not_run"), std::string::npos) << response;
}

// Guards against a bind failure that is ignored or does not name the address.
TEST_F(HttpTest, PortInUseIsAnErrorWithTheAddress) {
  Listen(Echo);
  HttpServerOptions options;
  options.address = m_server->address();
  const auto second = HttpServer::Listen(m_pool, options, Echo);
  ASSERT_FALSE(second);
  EXPECT_EQ(second.error().path, options.address);
  EXPECT_NE(second.error().reason.find("cannot listen"), std::string::npos);
}

// Guards against trailers that are stored as header fields without a limit.
TEST_F(HttpTest, TrailersOverTheHeaderLimitAreRefused) {
  HttpServerOptions options;
  options.max_header_bytes = 4096;
  Listen(Echo, options);
  std::string request = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
  for (int i = 0; i < 2000; ++i) request += "Trailer: value\r\n";
  EXPECT_TRUE(RawExchange(m_server->address(), request).starts_with("HTTP/1.1 431"));
  EXPECT_EQ(m_server->LimitMetrics()["refused_headers"], 1);
}

// Guards against trailers within the limit that are refused.
TEST_F(HttpTest, TrailersWithinTheHeaderLimitAreAccepted) {
  Listen(Echo);
  const std::string request =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n1\r\nx\r\n0\r\nTrailer: value\r\n\r\n";
  const std::string response = RawExchange(m_server->address(), request);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
  EXPECT_TRUE(response.ends_with("\r\n\r\nx")) << response;
}

// Guards against a refusal that does not say that the request was not run, or not when to retry.
TEST_F(HttpTest, RequestThatHoldsMemoryLongestIsRefusedAsNotRun) {
  HttpServerOptions options;
  options.max_body_bytes = 1'000'000;
  options.max_held_bytes = 1;  // raised to what one request needs
  Listen(Echo, options);
  const std::string unfinished = "POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n" + std::string(900'000, 'x');
  boost::asio::io_context context;
  std::vector<Tcp::socket> sockets;
  const std::size_t clients = options.EffectiveMaxHeldBytes() / options.max_body_bytes + 2;
  for (std::size_t i = 0; i < clients; ++i) {
    sockets.emplace_back(context).connect(*ParseEndpoint(m_server->address()));
    boost::asio::write(sockets.back(), boost::asio::buffer(unfinished));
  }
  std::string refusal;
  boost::system::error_code ec;
  boost::asio::read(sockets.front(), boost::asio::dynamic_buffer(refusal), ec);
  EXPECT_TRUE(refusal.starts_with("HTTP/1.1 503")) << refusal;
  EXPECT_NE(refusal.find("Jaymast-Verdict: not_run"), std::string::npos);
  EXPECT_NE(refusal.find("Retry-After: 1"), std::string::npos);
  BlockingHttpClient client;
  EXPECT_EQ(client.Call(m_server->address(), Post("/", "x"), kTestTimeout).response.status, 200);
  EXPECT_LE(m_server->LimitMetrics()["held_bytes"], static_cast<double>(options.EffectiveMaxHeldBytes()));
}

// Guards against a budget in which a single request within the other limits does not fit.
TEST(HttpServerOptionsTest, HeldBytesHaveADefaultAndALowerBound) {
  HttpServerOptions options;
  EXPECT_EQ(options.EffectiveMaxHeldBytes(), 32 * options.max_body_bytes);
  options.max_held_bytes = 100'000'000;
  EXPECT_EQ(options.EffectiveMaxHeldBytes(), 100'000'000U);
  options.max_held_bytes = 1;
  EXPECT_GE(options.EffectiveMaxHeldBytes(), HttpServerOptions::kCopiesOfBody * options.max_body_bytes);
}

// Guards against clients that open all connections, send nothing, and so keep others from being served.
TEST_F(HttpTest, ConnectionThatWaitsLongestMakesRoomForAnother) {
  HttpServerOptions options;
  options.max_connections = 4;
  Listen(Echo, options);
  boost::asio::io_context context;
  std::vector<Tcp::socket> idle;
  for (int i = 0; i < 4; ++i) idle.emplace_back(context).connect(*ParseEndpoint(m_server->address()));
  BlockingHttpClient client;
  EXPECT_EQ(client.Call(m_server->address(), Post("/", "x"), kTestTimeout).response.status, 200);
  EXPECT_EQ(m_server->LimitMetrics()["evicted_connections"], 1);
}

// Guards against queued responses without a limit: clients that do not read theirs lose their connection.
TEST_F(HttpTest, ClientsThatDoNotReadAreClosedWhenTheBudgetIsUsedUp) {
  // Larger than what the sockets of both sides buffer.
  constexpr std::size_t kResponseBytes = 32'000'000;
  HttpServerOptions options;
  options.max_body_bytes = 1000;
  options.max_held_bytes = 2 * kResponseBytes + 1'000'000;
  options.write_timeout = 10 * kTestTimeout;
  Listen(
      [](const HttpRequest&, const HttpResponder& responder) {
        responder.Respond(HttpResponse{200, {}, std::string(kResponseBytes, 'x')});
      },
      options);
  boost::asio::io_context context;
  std::vector<Tcp::socket> slow;
  for (int i = 0; i < 6; ++i) {
    slow.emplace_back(context).connect(*ParseEndpoint(m_server->address()));
    boost::asio::write(slow.back(), boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  }
  const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
  while (m_server->LimitMetrics()["evicted_transfers"] < 4 && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  EXPECT_EQ(m_server->LimitMetrics()["evicted_transfers"], 4);
  EXPECT_LE(m_server->LimitMetrics()["held_bytes"], static_cast<double>(options.max_held_bytes));
}

// Guards against a server whose reply makes its client hold trailers or header fields without a limit.
TEST_F(HttpTest, ReplyWithEndlessTrailersIsGivenUp) {
  boost::asio::io_context context;
  Tcp::acceptor acceptor(context, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  const std::string address = FormatEndpoint(acceptor.local_endpoint());
  std::future<bool> is_closed = std::async(std::launch::async, [&acceptor] {
    Tcp::socket socket = acceptor.accept();
    boost::system::error_code ec;
    boost::asio::write(
        socket, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n")), ec);
    const std::string trailers = std::string(1000, 't') + ": x\r\n";
    for (int i = 0; i < 20'000 && !ec; ++i) boost::asio::write(socket, boost::asio::buffer(trailers), ec);
    return static_cast<bool>(ec);
  });
  BlockingHttpClient client;
  EXPECT_EQ(client.Call(address, Post("/", "x"), kTestTimeout).status, SendStatus::kUnknown);
  EXPECT_TRUE(is_closed.get());
}

}  // namespace
}  // namespace jaymast
