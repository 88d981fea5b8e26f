#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace jaymast {

class TlsContext;

/// Byte stream of a link over TCP, optionally with TLS. An operation that exceeds its timeout closes the stream.
class PeerStream {
 public:
  using Timeout = std::chrono::milliseconds;
  using Done = std::function<void(boost::system::error_code)>;
  using ReadDone = std::function<void(boost::system::error_code, std::size_t)>;

  virtual ~PeerStream() = default;

  /// Connects and performs the TLS handshake as client.
  virtual void Connect(const boost::asio::ip::tcp::endpoint& endpoint, Timeout timeout, Done done) = 0;

  /// Performs the TLS handshake as server.
  virtual void Accept(Timeout timeout, Done done) = 0;

  virtual void ReadSome(boost::asio::mutable_buffer buffer, Timeout timeout, ReadDone done) = 0;
  virtual void Write(boost::asio::const_buffer buffer, Timeout timeout, Done done) = 0;
  virtual void Close() = 0;

  /// @param tls TLS parameters, or null for plain TCP
  static std::unique_ptr<PeerStream> Make(boost::asio::ip::tcp::socket socket, const std::shared_ptr<TlsContext>& tls);
};

}  // namespace jaymast
