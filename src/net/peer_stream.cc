#include "net/peer_stream.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream_base.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>
#include <type_traits>
#include <utility>

#include "net/tls_context.h"

namespace jaymast {
namespace {

using boost::beast::tcp_stream;
using ErrorCode = boost::system::error_code;
using Tcp = boost::asio::ip::tcp;
using TlsStream = boost::beast::ssl_stream<tcp_stream>;

/// Detects a network partition by unacknowledged data. By default the kernel keeps the connection for many minutes.
constexpr int kUnacknowledgedTimeoutMs = 5'000;

template <typename Stream>
class BasicPeerStream : public PeerStream {
 public:
  BasicPeerStream(Stream stream, std::shared_ptr<boost::asio::ssl::context> context)
      : m_context(std::move(context)), m_stream(std::move(stream)) {}

  void Connect(const Tcp::endpoint& endpoint, Timeout timeout, Done done) override {
    Lowest().expires_after(timeout);
    Lowest().async_connect(endpoint, [this, done = std::move(done)](ErrorCode ec) mutable {
      if (ec) return done(ec);
      Handshake(boost::asio::ssl::stream_base::client, std::move(done));
    });
  }

  void Accept(Timeout timeout, Done done) override {
    Lowest().expires_after(timeout);
    Handshake(boost::asio::ssl::stream_base::server, std::move(done));
  }

  void ReadSome(boost::asio::mutable_buffer buffer, Timeout timeout, ReadDone done) override {
    Lowest().expires_after(timeout);
    m_stream.async_read_some(buffer, std::move(done));
  }

  void Write(boost::asio::const_buffer buffer, Timeout timeout, Done done) override {
    Lowest().expires_after(timeout);
    boost::asio::async_write(m_stream, buffer, [done = std::move(done)](ErrorCode ec, std::size_t) { done(ec); });
  }

  void Close() override { Lowest().close(); }

 private:
  static constexpr bool kIsTls = !std::is_same_v<Stream, tcp_stream>;

  tcp_stream& Lowest() { return boost::beast::get_lowest_layer(m_stream); }

  void Handshake(boost::asio::ssl::stream_base::handshake_type type, Done done) {
    SetOptions();
    if constexpr (kIsTls) {
      m_stream.async_handshake(type, std::move(done));
    } else {
      done({});
    }
  }

  void SetOptions() {
    ErrorCode ignored;
    Lowest().socket().set_option(Tcp::no_delay(true), ignored);
    ::setsockopt(Lowest().socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedTimeoutMs,
                 sizeof(kUnacknowledgedTimeoutMs));
  }

  const std::shared_ptr<boost::asio::ssl::context> m_context;  ///< a reload replaces it in the TlsContext
  Stream m_stream;
};

}  // namespace

std::unique_ptr<PeerStream> PeerStream::Make(Tcp::socket socket, const std::shared_ptr<TlsContext>& tls) {
  tcp_stream stream(std::move(socket));
  if (tls == nullptr) return std::make_unique<BasicPeerStream<tcp_stream>>(std::move(stream), nullptr);
  std::shared_ptr<boost::asio::ssl::context> context = tls->Current();
  TlsStream tls_stream(std::move(stream), *context);
  return std::make_unique<BasicPeerStream<TlsStream>>(std::move(tls_stream), std::move(context));
}

}  // namespace jaymast
