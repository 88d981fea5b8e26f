#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace jaymast {

class HttpClientHost;
struct PendingRequest;

/// Sends requests over one connection, one at a time. Must be used only on the thread of its host.
class HttpClientConnection {
 public:
  virtual ~HttpClientConnection() = default;

  virtual void Connect(const boost::asio::ip::tcp::endpoint& endpoint) = 0;
  virtual void Send(const std::shared_ptr<PendingRequest>& pending) = 0;
  virtual void Close() = 0;

  /// Whether the server closed the idle connection or sent unsolicited data.
  virtual bool IsStale() = 0;

  /// Whether a request was assigned to the connection.
  virtual bool is_used() const = 0;

  virtual std::chrono::steady_clock::time_point idle_since() const = 0;

  /// Bytes of the response that is being read.
  virtual std::size_t received_bytes() const = 0;
  /// Reads of the socket for this response.
  virtual std::size_t reads() const = 0;

  static std::shared_ptr<HttpClientConnection> Make(const std::shared_ptr<HttpClientHost>& host);
};

}  // namespace jaymast
