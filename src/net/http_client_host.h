#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "net/http_client.h"

namespace jaymast {

class HttpClientConnection;

/// A request on its way through the client.
struct PendingRequest {
  PendingRequest(boost::asio::io_context& context, HttpRequest http_request, HttpClient::Callback callback)
      : request(std::move(http_request)), done(std::move(callback)), timer(context) {}

  HttpRequest request;
  HttpClient::Callback done;
  boost::asio::steady_timer timer;
  std::weak_ptr<HttpClientConnection> connection;  ///< set while the request is being sent or answered
  bool is_complete = false;
};

/// Connections and waiting requests of one address. Lives on the thread of one io_context.
class HttpClientHost : public std::enable_shared_from_this<HttpClientHost> {
 public:
  HttpClientHost(boost::asio::io_context& context, std::string address, const HttpClientOptions& options);

  boost::asio::io_context& context() { return m_context; }
  const HttpClientOptions& options() const { return m_options; }
  const std::string& address() const { return m_address; }

  /// Takes a request. Must run on the thread of the host, as all calls below.
  void Send(HttpRequest request, HttpClient::Deadline deadline, HttpClient::Callback done);

  /// Completes a request, unless it was completed before.
  void Complete(PendingRequest& pending, HttpResult result);

  /// A connection was established, and can take a request.
  void OnConnected(const std::shared_ptr<HttpClientConnection>& connection);

  /// A connection finished a request, and can take the next one.
  void OnIdle(const std::shared_ptr<HttpClientConnection>& connection);

  /// A connection could not be established.
  void OnConnectFailed(const std::string& reason);

  /// A connection is closed.
  void OnClosed();

 private:
  using PendingPtr = std::shared_ptr<PendingRequest>;

  void StartTimer(const PendingPtr& pending, HttpClient::Deadline deadline);
  void OnDeadline(const PendingPtr& pending);
  void DispatchQueued();
  std::shared_ptr<HttpClientConnection> TakeIdle();
  void Connect();
  void ScheduleIdleSweep();
  void CloseExpiredIdle();

  boost::asio::io_context& m_context;
  const std::string m_address;
  const HttpClientOptions m_options;
  std::deque<PendingPtr> m_queued;
  std::vector<std::shared_ptr<HttpClientConnection>> m_idle;  ///< the last one was used most recently
  boost::asio::steady_timer m_idle_sweep_timer;
  bool m_is_idle_sweep_scheduled = false;
  std::size_t m_open_count = 0;
  std::size_t m_connecting_count = 0;
};

}  // namespace jaymast
