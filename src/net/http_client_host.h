#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "net/http_client.h"
#include "net/memory_budget.h"

namespace jaymast {

class HttpClientConnection;
struct HttpClientLoad;

/// A request that has not completed, with its deadline timer.
struct PendingRequest {
  PendingRequest(boost::asio::io_context& context, HttpRequest http_request, HttpClient::Callback callback)
      : request(std::move(http_request)), done(std::move(callback)), timer(context) {}

  HttpRequest request;
  HttpClient::Callback done;
  boost::asio::steady_timer timer;
  std::chrono::steady_clock::time_point queued_at = std::chrono::steady_clock::now();
  std::weak_ptr<HttpClientConnection> connection;  ///< set once the request is assigned to a connection
  bool is_complete = false;
};

/// Pools the connections to one address and queues its requests. Must be used only on the thread of its
/// io_context, except for context() and gauges().
class HttpClientHost : public std::enable_shared_from_this<HttpClientHost> {
 public:
  using ReceiveTime = std::atomic<std::chrono::steady_clock::time_point>;

  /// Present state of the address, for metrics.
  struct Gauges {
    ReceiveTime oldest_queued_at{std::chrono::steady_clock::time_point::max()};
    std::atomic<std::size_t> queued = 0;
    std::atomic<std::size_t> open = 0;  ///< connections, with those that are being opened
    std::atomic<std::size_t> connecting = 0;
    std::atomic<std::size_t> idle = 0;
    std::atomic<std::size_t> late = 0;  ///< connections that wait for a late response
  };

  HttpClientHost(boost::asio::io_context& context, std::string address, const HttpClientOptions& options,
                 std::shared_ptr<MemoryBudget> budget, std::shared_ptr<ReceiveTime> last_received,
                 std::shared_ptr<HttpClientLoad> load);

  boost::asio::io_context& context() { return m_context; }
  const HttpClientOptions& options() const { return m_options; }
  const std::string& address() const { return m_address; }
  const std::shared_ptr<MemoryBudget>& budget() const { return m_budget; }
  const Gauges& gauges() const { return m_gauges; }

  /// Sends a request, or queues it until a connection is available.
  void Send(HttpRequest request, HttpClient::Deadline deadline, HttpClient::Callback done);

  /// Cancels the timer and calls the callback, unless the request already completed.
  void Complete(PendingRequest& pending, HttpResult result);

  /// Called when a connection is established.
  void OnConnected(const std::shared_ptr<HttpClientConnection>& connection);

  /// Called when a connection is available for a request.
  void OnIdle(const std::shared_ptr<HttpClientConnection>& connection);

  /// Called when a connection cannot be established. Fails the oldest queued request.
  void OnConnectFailed(const std::string& reason);

  /// Called when a part of a response arrives.
  void OnReceived(std::chrono::steady_clock::time_point now) { m_last_received->store(now); }

  /// Called when a connection is closed.
  void OnClosed(const HttpClientConnection& connection);

 private:
  using PendingPtr = std::shared_ptr<PendingRequest>;
  using ConnectionPtr = std::shared_ptr<HttpClientConnection>;

  /// A connection whose request missed its deadline. It takes no request until the response has been read.
  struct LateConnection {
    ConnectionPtr connection;
    HttpClient::Deadline silent_at;  ///< when the lack of a response counts as a sign of dead connections
    HttpClient::Deadline close_at;
  };

  void StartTimer(const PendingPtr& pending, HttpClient::Deadline deadline);
  void OnDeadline(const PendingPtr& pending);
  void OnMissed(const ConnectionPtr& connection);
  void CheckLate();
  bool RemoveLate(const HttpClientConnection& connection);
  void CloseIdleIfSilentSince(std::chrono::steady_clock::time_point sent_at);
  void DispatchQueued();
  bool MakeRoom();
  ConnectionPtr TakeIdle();
  void Connect();
  void ScheduleIdleSweep();
  void CloseExpiredIdle();
  void UpdateGauges();

  boost::asio::io_context& m_context;
  const std::string m_address;
  const HttpClientOptions m_options;
  const std::shared_ptr<MemoryBudget> m_budget;        ///< of the responses of all hosts of the client
  const std::shared_ptr<ReceiveTime> m_last_received;  ///< of all hosts of the client
  const std::shared_ptr<HttpClientLoad> m_load;        ///< of all hosts of the client
  Gauges m_gauges;
  std::deque<PendingPtr> m_queued;
  std::vector<ConnectionPtr> m_idle;                       ///< ordered by last use, most recent last
  std::vector<LateConnection> m_late;                      ///< ordered by deadline, most recent last
  std::unordered_set<const HttpClientConnection*> m_open;  ///< connections, with those that are being opened
  boost::asio::steady_timer m_late_timer;
  boost::asio::steady_timer m_idle_sweep_timer;
  bool m_is_idle_sweep_scheduled = false;
  std::size_t m_connecting_count = 0;
};

}  // namespace jaymast
