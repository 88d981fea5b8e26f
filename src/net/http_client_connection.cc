#include "net/http_client_connection.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream_base.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>
#include <optional>
#include <type_traits>
#include <utility>

#include "net/http_client_host.h"
#include "net/memory_budget.h"
#include "net/tls_context.h"

namespace jaymast {
namespace {

namespace http = boost::beast::http;
using boost::beast::tcp_stream;
using ErrorCode = boost::beast::error_code;
using TlsStream = boost::beast::ssl_stream<tcp_stream>;

http::request<http::string_body> ToMessage(HttpRequest request, const std::string& host) {
  http::request<http::string_body> message;
  message.method_string(request.method);
  message.target(request.target);
  // The first header of a name counts, as for the receiver of a relayed request.
  for (const auto& [name, value] : request.headers) {
    if (message.count(name) == 0) message.set(name, value);
  }
  if (message.count(http::field::host) == 0) message.set(http::field::host, host);
  // The body is sent at once, so an interim response would be taken for the final one.
  message.erase(http::field::expect);
  message.body() = std::move(request.body);
  // prepare_payload() throws for a method that does not allow a body, which a relayed request may have all the same.
  if (message.method() != http::verb::trace || message.body().empty()) {
    message.prepare_payload();
  } else {
    message.content_length(message.body().size());
  }
  return message;
}

HttpResponse ToResponse(http::response<http::string_body>& message) {
  HttpResponse response;
  response.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
  }
  response.body = std::move(message.body());
  return response;
}

template <typename Stream>
class Connection : public HttpClientConnection,
                   public MemoryBudget::Holder,
                   public std::enable_shared_from_this<Connection<Stream>> {
 public:
  Connection(const std::shared_ptr<HttpClientHost>& host, Stream stream,
             std::shared_ptr<boost::asio::ssl::context> context)
      : m_host(host),
        m_address(host->address()),
        m_max_response_bytes(host->options().max_response_bytes),
        m_max_header_bytes(host->options().max_header_bytes),
        m_connect_timeout(host->options().connect_timeout),
        m_tls_context(std::move(context)),
        m_budget(host->budget()),
        m_stream(std::move(stream)),
        m_buffer(host->options().max_header_bytes + kReadChunkBytes) {}

  ~Connection() override { m_budget->Release(this); }

  void Connect(const boost::asio::ip::tcp::endpoint& endpoint) override {
    Lowest().expires_after(m_connect_timeout);
    Lowest().async_connect(endpoint, [self = Self()](ErrorCode ec) {
      if (ec) return self->FailConnect(ec);
      ErrorCode ignored;
      self->Lowest().socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
      self->Handshake();
    });
  }

  void Send(const std::shared_ptr<PendingRequest>& pending) override {
    pending->connection = this->weak_from_this();
    m_sent_at = std::chrono::steady_clock::now();
    m_received_bytes = 0;
    m_reads = 0;
    m_request = ToMessage(std::move(pending->request), m_address);
    // The deadline timer of the request covers writing and reading.
    Lowest().expires_never();
    http::async_write(m_stream, m_request, [self = Self(), pending](ErrorCode ec, std::size_t size) {
      if (ec) return self->Fail(*pending, ec, size == 0 && !kIsTls);
      self->Read(pending);
    });
  }

  void Close() override {
    if (m_is_closed) return;
    m_is_closed = true;
    Lowest().close();
    m_budget->Release(this);
    if (const auto host = m_host.lock()) host->OnClosed(*this);
  }

  bool DiscardResponse() override {
    if (!m_is_reading || m_is_closed || IsLarge()) return false;
    m_discards_response = true;
    m_request = {};
    return true;
  }

  void Evict() override {
    // The pending read fails, and its handler completes the request.
    boost::asio::post(Lowest().get_executor(), [self = Self()] {
      if (self->m_is_reading) self->Close();
    });
  }

  bool IsStale() override {
    std::array<char, 1> byte{};
    const ssize_t size = ::recv(Lowest().socket().native_handle(), byte.data(), byte.size(), MSG_PEEK | MSG_DONTWAIT);
    // Pending data is normal with TLS, as servers may send session tickets at any time.
    if (size > 0) return !kIsTls;
    return size == 0 || errno != EAGAIN;
  }

  std::chrono::steady_clock::time_point connected_at() const override { return m_connected_at; }

  std::chrono::steady_clock::time_point sent_at() const override { return m_sent_at; }

  std::chrono::steady_clock::time_point received_at() const override { return m_received_at; }

  std::chrono::steady_clock::time_point idle_since() const override { return m_idle_since; }

  std::size_t received_bytes() const override { return m_received_bytes; }

  std::size_t reads() const override { return m_reads; }

 private:
  static constexpr bool kIsTls = !std::is_same_v<Stream, tcp_stream>;
  static constexpr std::size_t kReadChunkBytes = 16384;
  /// Reading the rest of a longer response would delay other requests more than a new connection does.
  static constexpr std::size_t kMaxDiscardedBytes = 64U << 10U;
  using Parser = http::response_parser<http::string_body>;

  auto Self() { return this->shared_from_this(); }
  tcp_stream& Lowest() { return boost::beast::get_lowest_layer(m_stream); }

  void Handshake() {
    if constexpr (kIsTls) {
      m_stream.async_handshake(boost::asio::ssl::stream_base::client, [self = Self()](ErrorCode ec) {
        if (ec) return self->FailConnect(ec);
        self->FinishConnect();
      });
    } else {
      FinishConnect();
    }
  }

  void FinishConnect() {
    m_connected_at = std::chrono::steady_clock::now();
    m_idle_since = m_connected_at;
    if (const auto host = m_host.lock()) host->OnConnected(Self());
  }

  void FailConnect(ErrorCode ec) {
    const std::string reason = "cannot connect to " + m_address + ": " + ec.message();
    if (const auto host = m_host.lock()) host->OnConnectFailed(reason);
    Close();
  }

  void Read(const std::shared_ptr<PendingRequest>& pending) {
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_max_header_bytes));
    m_parser->body_limit(m_max_response_bytes);
    m_parser->eager(true);
    m_is_reading = true;
    ReadSome(pending);
  }

  /// Reads the response in parts and counts each part before the next one is read.
  void ReadSome(const std::shared_ptr<PendingRequest>& pending) {
    http::async_read_some(m_stream, m_buffer, *m_parser, [self = Self(), pending](ErrorCode ec, std::size_t size) {
      self->m_received_bytes += size;
      ++self->m_reads;
      if (size > 0) self->OnReceived();
      if (ec) return self->Fail(*pending, ec, false);
      if (self->m_parser->is_done()) return self->Finish(*pending);
      if (self->m_discards_response && self->IsLarge()) return self->Close();
      const std::size_t bytes = self->m_buffer.capacity() + self->m_parser->get().body().capacity();
      if (!self->m_budget->Hold(self, bytes, MemoryBudget::Phase::kTransfer)) {
        return self->Fail(*pending, http::error::body_limit, false);
      }
      // Beast reads no more than the capacity of the buffer, or 512 bytes, at a time. A connection that waits for the
      // first byte holds no large buffer.
      self->m_buffer.reserve(kReadChunkBytes);
      self->ReadSome(pending);
    });
  }

  void OnReceived() {
    m_received_at = std::chrono::steady_clock::now();
    if (const auto host = m_host.lock()) host->OnReceived(m_received_at);
  }

  /// Whether the response that is being read is too large to be discarded.
  bool IsLarge() const {
    if (m_received_bytes > kMaxDiscardedBytes) return true;
    if (!m_parser->is_header_done()) return false;
    const auto length = m_parser->content_length();
    return length && *length > kMaxDiscardedBytes;
  }

  void Finish(PendingRequest& pending) {
    m_is_reading = false;
    m_discards_response = false;
    m_budget->Release(this);
    auto& message = m_parser->get();
    // Bytes after the response belong to no request, so a connection with such bytes is not reused.
    const bool is_reusable = message.keep_alive() && m_buffer.size() == 0 && !m_is_closed;
    HttpResult result{SendStatus::kAnswered, ToResponse(message), "", m_received_bytes, m_reads};
    // Idle connections hold neither the request nor a buffer.
    m_request = {};
    m_parser.reset();
    if (is_reusable) m_buffer.shrink_to_fit();
    if (is_reusable) {
      BecomeIdle();
    } else {
      Close();
    }
    if (const auto host = m_host.lock()) host->Complete(pending, std::move(result));
  }

  void Fail(PendingRequest& pending, ErrorCode ec, bool nothing_sent) {
    const SendStatus status = nothing_sent ? SendStatus::kNotSent : SendStatus::kUnknown;
    HttpResult result{status, {}, m_address + ": " + ec.message(), m_received_bytes, m_reads};
    if (const auto host = m_host.lock()) host->Complete(pending, std::move(result));
    Close();
  }

  void BecomeIdle() {
    m_idle_since = std::chrono::steady_clock::now();
    if (const auto host = m_host.lock()) host->OnIdle(Self());
  }

  // Weak, because the host owns its idle connections. The timer of a request in flight keeps the host alive.
  const std::weak_ptr<HttpClientHost> m_host;
  const std::string m_address;
  const std::size_t m_max_response_bytes;
  const std::size_t m_max_header_bytes;
  const std::chrono::milliseconds m_connect_timeout;
  const std::shared_ptr<boost::asio::ssl::context> m_tls_context;
  const std::shared_ptr<MemoryBudget> m_budget;
  Stream m_stream;
  boost::beast::flat_buffer m_buffer;
  http::request<http::string_body> m_request;
  std::optional<Parser> m_parser;
  std::chrono::steady_clock::time_point m_connected_at;
  std::chrono::steady_clock::time_point m_sent_at;
  std::chrono::steady_clock::time_point m_received_at;
  std::chrono::steady_clock::time_point m_idle_since;
  std::size_t m_received_bytes = 0;
  std::size_t m_reads = 0;
  bool m_is_reading = false;
  bool m_discards_response = false;
  bool m_is_closed = false;
};

}  // namespace

std::shared_ptr<HttpClientConnection> HttpClientConnection::Make(const std::shared_ptr<HttpClientHost>& host) {
  tcp_stream stream(host->context());
  if (host->options().tls == nullptr) return std::make_shared<Connection<tcp_stream>>(host, std::move(stream), nullptr);
  std::shared_ptr<boost::asio::ssl::context> context = host->options().tls->Current();
  TlsStream tls_stream(std::move(stream), *context);
  return std::make_shared<Connection<TlsStream>>(host, std::move(tls_stream), std::move(context));
}

}  // namespace jaymast
