#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/result.h"
#include "net/http_message.h"
#include "net/http_responder.h"

namespace jaymast {

class IoPool;
class TlsContext;
struct HttpServerState;

struct HttpServerOptions {
  std::string address = "127.0.0.1:0";  ///< IP:port; port 0 selects a free port
  std::size_t max_body_bytes = 4U << 20U;
  std::size_t max_header_bytes = 16U << 10U;
  std::size_t max_connections = 4096;  ///< if reached, the one with the oldest unfinished request is closed
  /// Bytes that requests and responses of all connections may hold; 0 for 32 times max_body_bytes, at least 8 MiB.
  /// Raised to what one request within the other limits needs.
  std::size_t max_held_bytes = 0;
  std::chrono::milliseconds idle_timeout{60'000};   ///< between two requests on a connection
  std::chrono::milliseconds header_timeout{5'000};  ///< from the first byte of a request to the end of its header
  std::chrono::milliseconds body_timeout{10'000};   ///< from the end of the header to the end of the body
  std::chrono::milliseconds write_timeout{10'000};
  std::shared_ptr<TlsContext> tls;  ///< plain HTTP when empty

  /// The body of a complete request counts this many times: a handler keeps it, copies it to forward it, and parses
  /// it.
  static constexpr std::size_t kCopiesOfBody = 4;

  /// Limit on the bytes of all connections, with the default and the lower bound applied.
  std::size_t EffectiveMaxHeldBytes() const;
};

/// Serves HTTP/1.1 with keep-alive on the I/O threads of a pool.
class HttpServer {
 public:
  /// Called on an I/O thread. The responder may be used later and from any thread.
  using Handler = std::function<void(HttpRequest, HttpResponder)>;

  /// Listens and starts accepting connections.
  /// @return the server, or an error with the address if it cannot be bound
  static Result<std::unique_ptr<HttpServer>> Listen(IoPool& pool, HttpServerOptions options, Handler handler);

  /// Stops accepting and closes all connections. Must not be called from a thread of the pool.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Local IP address and port of the server.
  std::string address() const;

  std::size_t open_connections() const;
  std::uint64_t refused_connections() const;

  /// Current values of gauges and counters about limits, by the end of the metric name.
  std::map<std::string, double> LimitMetrics() const;

  /// Begins a graceful shutdown: stops accepting, completes requests in flight, then closes each connection.
  void BeginShutdown();

  /// Refuses the requests that are being read, and those that are received later. Their clients get a response even
  /// while they are still sending.
  void RefuseRequests();

  /// Waits until all connections are closed.
  /// @return false on timeout
  bool WaitForShutdown(std::chrono::milliseconds timeout);

 private:
  explicit HttpServer(std::shared_ptr<HttpServerState> shared);

  std::shared_ptr<HttpServerState> m_shared;
};

}  // namespace jaymast
