#include "net/http_server.h"

#include <algorithm>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/error.hpp>
#include <utility>
#include <vector>

#include "net/endpoint.h"
#include "net/http_server_connection.h"
#include "net/http_server_state.h"

namespace jaymast {
namespace {

using Tcp = boost::asio::ip::tcp;
using boost::beast::tcp_stream;

constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
/// Bounds the time for which other connections wait.
constexpr int kMaxAcceptsPerTurn = 64;
/// An evicted connection is closed within about a millisecond. The wait is bounded in case its client delays that.
constexpr std::chrono::milliseconds kRoomPollInterval{1};
constexpr int kMaxRoomPolls = 50;
/// A few hundred requests of the usual 4,000 bytes fit, with their copies, however small max_body_bytes is.
constexpr std::size_t kMinDefaultHeldBytes = 8U << 20U;
constexpr std::size_t kDefaultHeldBodies = 32;
/// Memory of the header, trailers and read buffer of one request in multiples of max_header_bytes, if all fields are
/// empty.
constexpr std::size_t kMaxHeaderOverhead = 128;

/// TLS stream that keeps its parameters alive, because a reload replaces them in the server.
struct TlsStream : boost::beast::ssl_stream<tcp_stream> {
  TlsStream(tcp_stream stream, std::shared_ptr<boost::asio::ssl::context> parameters)
      : ssl_stream(std::move(stream), *parameters), context(std::move(parameters)) {}
  std::shared_ptr<boost::asio::ssl::context> context;
};

/// Sends a 503 response with the verdict "not_run" and closes the connection.
void RejectConnection(Tcp::socket socket) {
  static const std::string kRejection = [] {
    const HttpResponse problem =
        ProblemResponse(503, Error{ErrorId::kQueueFull, "connection", "too many connections"}, Verdict::kNotRun);
    return "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/problem+json\r\nJaymast-Verdict: not_run\r\n"
           "Retry-After: 1\r\nConnection: close\r\nContent-Length: " +
           std::to_string(problem.body.size()) + "\r\n\r\n" + problem.body;
  }();
  boost::system::error_code ignored;
  socket.non_blocking(true, ignored);
  socket.write_some(boost::asio::buffer(kRejection), ignored);
  socket.shutdown(Tcp::socket::shutdown_send, ignored);
}

/// Accepts connections and distributes them over the I/O threads.
class Acceptor : public std::enable_shared_from_this<Acceptor> {
 public:
  explicit Acceptor(std::shared_ptr<HttpServerState> shared)
      : m_shared(std::move(shared)), m_retry_timer(m_shared->acceptor.get_executor()) {}

  void Accept() {
    m_shared->acceptor.async_accept([self = shared_from_this()](boost::system::error_code ec, Tcp::socket socket) {
      ++self->m_shared->accept_turns;
      if (!ec) self->Serve(std::move(socket));
      if (!ec) self->ServeWaiting();
      if (self->m_shared->is_shutting_down) return self->Drain();
      if (ec) return self->RetryAccept();
      self->AcceptWhenThereIsRoom();
    });
  }

 private:
  /// Accepts the connections that wait in the backlog. One in each turn of a busy event loop leaves them there for
  /// seconds, while their clients count them as open and send requests.
  void ServeWaiting() {
    boost::system::error_code ec;
    m_shared->acceptor.non_blocking(true, ec);
    for (int i = 0; !ec && i < kMaxAcceptsPerTurn && !m_shared->IsOverLimit(); ++i) {
      Tcp::socket socket = m_shared->acceptor.accept(ec);
      if (!ec) Serve(std::move(socket));
    }
  }

  /// Accepts the next connection once evicted ones are closed. Otherwise a burst of connections would find the server
  /// full, and the ones that arrive last would be refused.
  void AcceptWhenThereIsRoom() {
    const bool waits = m_shared->IsOverLimit() && m_room_polls < kMaxRoomPolls;
    if (!waits) {
      m_room_polls = 0;
      return Accept();
    }
    ++m_room_polls;
    m_retry_timer.expires_after(kRoomPollInterval);
    m_retry_timer.async_wait([self = shared_from_this()](boost::system::error_code) {
      if (self->m_shared->is_shutting_down) return self->Drain();
      self->AcceptWhenThereIsRoom();
    });
  }

  /// Retries after a delay, because accept fails immediately while the process is out of file descriptors.
  void RetryAccept() {
    m_retry_timer.expires_after(kAcceptRetryDelay);
    m_retry_timer.async_wait([self = shared_from_this()](boost::system::error_code) {
      if (self->m_shared->is_shutting_down) return self->Drain();
      self->Accept();
    });
  }

  /// Accepts the connections in the backlog, then stops listening. Closing immediately would reset them.
  void Drain() {
    boost::system::error_code ec;
    m_shared->acceptor.non_blocking(true, ec);
    while (!ec) {
      Tcp::socket socket = m_shared->acceptor.accept(ec);
      if (!ec) Serve(std::move(socket));
    }
    m_shared->acceptor.close(ec);
  }

  void Serve(Tcp::socket socket) {
    ++m_shared->accepted;
    boost::system::error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    if (!m_shared->MakeRoom()) {
      ++m_shared->refused;
      return RejectConnection(std::move(socket));
    }
    auto& context = m_shared->pool.Context(m_next++);
    const auto protocol = socket.local_endpoint(ignored).protocol();
    tcp_stream stream(Tcp::socket(context, protocol, socket.release()));
    if (m_shared->options.tls) {
      Start(context, TlsStream(std::move(stream), m_shared->options.tls->Current()));
    } else {
      Start(context, std::move(stream));
    }
  }

  template <typename Stream>
  void Start(boost::asio::io_context& context, Stream stream) {
    auto connection = std::make_shared<HttpServerConnection<Stream>>(m_shared, std::move(stream));
    m_shared->Add(connection);
    boost::asio::post(context, [connection] { connection->Run(); });
  }

  const std::shared_ptr<HttpServerState> m_shared;
  boost::asio::steady_timer m_retry_timer;
  std::size_t m_next = 0;
  int m_room_polls = 0;  ///< since the last accepted connection
};

}  // namespace

std::size_t HttpServerOptions::EffectiveMaxHeldBytes() const {
  const std::size_t wanted =
      max_held_bytes > 0 ? max_held_bytes : std::max(kMinDefaultHeldBytes, kDefaultHeldBodies * max_body_bytes);
  // A string may have twice the capacity of its text.
  return std::max(wanted, 2 * kCopiesOfBody * max_body_bytes + kMaxHeaderOverhead * max_header_bytes);
}

Result<std::unique_ptr<HttpServer>> HttpServer::Listen(IoPool& pool, HttpServerOptions options, Handler handler) {
  const Result<Tcp::endpoint> endpoint = ParseEndpoint(options.address);
  if (!endpoint) return endpoint.error();
  const std::string address = options.address;
  auto shared = std::make_shared<HttpServerState>(pool, std::move(options), std::move(handler));
  boost::system::error_code ec;
  Tcp::acceptor& acceptor = shared->acceptor;
  acceptor.open(endpoint->protocol(), ec);
  if (!ec) acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor.bind(*endpoint, ec);
  if (!ec) acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
  if (ec) return Error{ErrorId::kInputField, address, "cannot listen: " + ec.message()};
  std::make_shared<Acceptor>(shared)->Accept();
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(shared)));
}

HttpServer::HttpServer(std::shared_ptr<HttpServerState> shared) : m_shared(std::move(shared)) {}

HttpServer::~HttpServer() {
  BeginShutdown();
  m_shared->pool.RunAndWait(0, [this] {
    boost::system::error_code ignored;
    m_shared->acceptor.close(ignored);
  });
  std::map<HttpConnection*, std::shared_ptr<HttpConnection>> connections;
  {
    const std::lock_guard lock(m_shared->mutex);
    m_shared->is_destroyed = true;
    connections.swap(m_shared->connections);
  }
  for (const auto& [key, connection] : connections) connection->Abort();
}

std::string HttpServer::address() const {
  boost::system::error_code ignored;
  return FormatEndpoint(m_shared->acceptor.local_endpoint(ignored));
}

std::size_t HttpServer::open_connections() const {
  const std::lock_guard lock(m_shared->mutex);
  return m_shared->connections.size();
}

std::uint64_t HttpServer::refused_connections() const { return m_shared->refused; }

std::map<std::string, double> HttpServer::LimitMetrics() const {
  return {{"held_bytes", static_cast<double>(m_shared->budget.held_bytes())},
          {"open_connections", static_cast<double>(open_connections())},
          {"evicted_transfers", static_cast<double>(m_shared->budget.evicted())},
          {"refused_connections", static_cast<double>(m_shared->refused)},
          {"evicted_connections", static_cast<double>(m_shared->evicted_connections)},
          {"refused_bodies", static_cast<double>(m_shared->refused_for_body)},
          {"refused_headers", static_cast<double>(m_shared->refused_for_header)},
          {"refused_for_memory", static_cast<double>(m_shared->refused_for_memory)},
          {"accepted", static_cast<double>(m_shared->accepted)},
          {"accept_turns", static_cast<double>(m_shared->accept_turns)},
          {"requests", static_cast<double>(m_shared->requests)},
          {"body_reads", static_cast<double>(m_shared->body_reads)},
          {"abandoned_requests", static_cast<double>(m_shared->abandoned)}};
}

void HttpServer::BeginShutdown() {
  if (m_shared->is_shutting_down.exchange(true)) return;
  boost::asio::post(m_shared->acceptor.get_executor(), [shared = m_shared] {
    boost::system::error_code ignored;
    shared->acceptor.cancel(ignored);
  });
  const std::lock_guard lock(m_shared->mutex);
  for (const auto& [key, connection] : m_shared->connections) connection->CloseGracefully();
}

void HttpServer::RefuseRequests() {
  if (m_shared->is_refusing.exchange(true)) return;
  const std::lock_guard lock(m_shared->mutex);
  for (const auto& [key, connection] : m_shared->connections) connection->RefuseUnfinished();
}

bool HttpServer::WaitForShutdown(std::chrono::milliseconds timeout) {
  std::unique_lock lock(m_shared->mutex);
  return m_shared->all_closed.wait_for(lock, timeout, [this] { return m_shared->connections.empty(); });
}

}  // namespace jaymast
