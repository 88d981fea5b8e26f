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
#include "net/memory_budget.h"
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

  /// Refuses the request that is being read, or closes the connection if it is idle or its client does not take the
  /// response. Does nothing while a complete request waits for its response. May be called from any thread.
  virtual void Evict() = 0;

  /// Refuses the request that is being read, if there is one. May be called from any thread.
  virtual void RefuseUnfinished() = 0;
};

/// Holds the state that a server and its connections share.
struct HttpServerState {
  HttpServerState(IoPool& io_pool, HttpServerOptions server_options, HttpServer::Handler request_handler)
      : pool(io_pool),
        options(std::move(server_options)),
        handler(std::move(request_handler)),
        acceptor(io_pool.Context(0)),
        budget(options.EffectiveMaxHeldBytes()) {}

  void Add(const std::shared_ptr<HttpConnection>& connection) {
    const std::lock_guard lock(mutex);
    if (is_destroyed) return connection->Abort();
    connections.emplace(connection.get(), connection);
    Wait(connection.get());
    if (is_shutting_down) connection->CloseGracefully();
  }

  /// Notes that the connection has an unfinished request. A new connection counts as such until its first request.
  void SetWaiting(HttpConnection* connection) {
    const std::lock_guard lock(mutex);
    if (connections.contains(connection)) Wait(connection);
  }

  /// Notes that the connection has a request that waits for its response, or that it is about to be closed.
  void SetNotWaiting(HttpConnection* connection) {
    const std::lock_guard lock(mutex);
    StopWaiting(connection);
  }

  /// Makes room for one more connection: evicts the one that has waited longest for the end of its request. Idle
  /// connections that have been served are kept, as their clients may be sending the next request.
  /// @return false if the server is full
  bool MakeRoom() {
    const std::lock_guard lock(mutex);
    if (connections.size() < options.max_connections) return true;
    // An evicted connection counts until it is closed. This bounds how many of them there are.
    const std::size_t hard_limit = options.max_connections + options.max_connections / 8;
    if (waiting.empty() || connections.size() > hard_limit) return false;
    HttpConnection* oldest = waiting.begin()->second;
    StopWaiting(oldest);
    ++evicted_connections;
    const auto found = connections.find(oldest);
    if (found != connections.end()) found->second->Evict();
    return true;
  }

  /// Whether evicted connections are still open.
  bool IsOverLimit() {
    const std::lock_guard lock(mutex);
    return connections.size() > options.max_connections;
  }

  void Remove(HttpConnection* connection) {
    const std::lock_guard lock(mutex);
    StopWaiting(connection);
    connections.erase(connection);
    if (connections.empty()) all_closed.notify_all();
  }

  IoPool& pool;
  const HttpServerOptions options;
  const HttpServer::Handler handler;
  boost::asio::ip::tcp::acceptor acceptor;
  std::atomic<bool> is_shutting_down = false;
  std::atomic<bool> is_refusing = false;  ///< refuses all requests that have not been read
  std::atomic<std::uint64_t> refused = 0;
  std::atomic<std::uint64_t> evicted_connections = 0;
  std::atomic<std::uint64_t> refused_for_body = 0;
  std::atomic<std::uint64_t> refused_for_header = 0;
  std::atomic<std::uint64_t> refused_for_memory = 0;
  std::atomic<std::uint64_t> accepted = 0;
  std::atomic<std::uint64_t> accept_turns = 0;  ///< turns of the event loop in which connections were accepted
  std::atomic<std::uint64_t> requests = 0;      ///< read completely
  std::atomic<std::uint64_t> body_reads = 0;    ///< steps in which bodies were read
  std::atomic<std::uint64_t> abandoned = 0;     ///< requests whose client closed the connection before the response
  MemoryBudget budget;

  std::mutex mutex;           ///< guards the members below
  bool is_destroyed = false;  ///< the server is destroyed, so new connections are aborted
  std::condition_variable all_closed;
  std::map<HttpConnection*, std::shared_ptr<HttpConnection>> connections;
  /// Connections without a complete request, in the order in which they began to wait for one.
  std::map<std::uint64_t, HttpConnection*> waiting;
  std::map<HttpConnection*, std::uint64_t> waiting_order;
  std::uint64_t wait_count = 0;

 private:
  void Wait(HttpConnection* connection) {
    if (!waiting_order.emplace(connection, wait_count + 1).second) return;
    waiting[++wait_count] = connection;
  }

  void StopWaiting(HttpConnection* connection) {
    const auto found = waiting_order.find(connection);
    if (found == waiting_order.end()) return;
    waiting.erase(found->second);
    waiting_order.erase(found);
  }
};

}  // namespace jaymast
