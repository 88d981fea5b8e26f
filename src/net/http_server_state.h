#pragma once

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

#include "net/http_server.h"
#include "net/io_pool.h"
#include "net/tls_context.h"

namespace jaymast {

/// Interface through which the server closes a connection.
class HttpConnection {
 public:
  virtual ~HttpConnection() = default;

  /// Closes the connection immediately. May be called from any thread.
  virtual void Abort() = 0;

  /// Closes the connection after the request in flight, or after a short grace period if there is none. May be called
  /// from any thread.
  virtual void CloseGracefully() = 0;
};

/// Holds the state that a server and its connections share.
struct HttpServerState {
  HttpServerState(IoPool& io_pool, HttpServerOptions server_options, HttpServer::Handler request_handler)
      : pool(io_pool),
        options(std::move(server_options)),
        handler(std::move(request_handler)),
        acceptor(io_pool.Context(0)) {}

  void Add(const std::shared_ptr<HttpConnection>& connection) {
    const std::lock_guard lock(mutex);
    if (is_destroyed) return connection->Abort();
    connections.emplace(connection.get(), connection);
    if (is_shutting_down) connection->CloseGracefully();
  }

  void Remove(HttpConnection* connection) {
    const std::lock_guard lock(mutex);
    connections.erase(connection);
    if (connections.empty()) all_closed.notify_all();
  }

  IoPool& pool;
  const HttpServerOptions options;
  const HttpServer::Handler handler;
  boost::asio::ip::tcp::acceptor acceptor;
  std::atomic<bool> is_shutting_down = false;
  std::atomic<std::uint64_t> refused = 0;

  std::mutex mutex;           ///< guards the members below
  bool is_destroyed = false;  ///< the server is destroyed, so new connections are aborted
  std::condition_variable all_closed;
  std::map<HttpConnection*, std::shared_ptr<HttpConnection>> connections;
};

}  // namespace jaymast
