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

  /// Discards the response to the request, which missed its deadline. The connection becomes idle once it is read.
  /// @return false if the connection cannot be used again, as the request is not sent completely or the response is
  /// large
  virtual bool DiscardResponse() = 0;

  /// Whether the server closed the idle connection or sent unsolicited data.
  virtual bool IsStale() = 0;

  virtual std::chrono::steady_clock::time_point connected_at() const = 0;
  /// When the last request was assigned to the connection, the epoch of the clock if none was.
  virtual std::chrono::steady_clock::time_point sent_at() const = 0;
  /// When a part of a response arrived last, the epoch of the clock if none has.
  virtual std::chrono::steady_clock::time_point received_at() const = 0;
  virtual std::chrono::steady_clock::time_point idle_since() const = 0;

  /// Bytes of the response that is being read.
  virtual std::size_t received_bytes() const = 0;
  /// Reads of the socket for this response.
  virtual std::size_t reads() const = 0;

  static std::shared_ptr<HttpClientConnection> Make(const std::shared_ptr<HttpClientHost>& host);
};

}  // namespace jaymast
