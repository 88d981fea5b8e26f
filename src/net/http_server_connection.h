#pragma once

#include <sys/socket.h>

#include <array>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ssl/stream_base.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>
#include <cerrno>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>

#include "net/http_server_state.h"
#include "net/memory_budget.h"
#include "net/problem.h"

namespace jaymast {

/// Serves the requests of one connection on the thread of its io_context.
/// @tparam Stream tcp_stream, or ssl_stream over tcp_stream
template <typename Stream>
class HttpServerConnection : public HttpConnection,
                             public HttpExchange,
                             public MemoryBudget::Holder,
                             public std::enable_shared_from_this<HttpServerConnection<Stream>> {
 public:
  HttpServerConnection(std::shared_ptr<HttpServerState> shared, Stream stream)
      : m_shared(std::move(shared)),
        m_stream(std::move(stream)),
        m_shutdown_timer(boost::beast::get_lowest_layer(m_stream).get_executor()),
        m_buffer(m_shared->options.max_header_bytes + kReadChunkBytes) {}

  ~HttpServerConnection() override { m_shared->budget.Release(this); }

  /// Serves requests until the connection is closed. Must run on the thread of the connection.
  void Run() {
    if constexpr (kIsTls) {
      Lowest().expires_after(m_shared->options.header_timeout);
      m_stream.async_handshake(boost::asio::ssl::stream_base::server, [self = Self()](ErrorCode ec) {
        if (ec) return self->Close();
        self->WaitForRequest();
      });
    } else {
      WaitForRequest();
    }
  }

  void Abort() override {
    boost::asio::post(Lowest().get_executor(), [self = Self()] { self->Close(); });
  }

  void Evict() override {
    boost::asio::post(Lowest().get_executor(), [self = Self()] { self->GiveUp(); });
  }

  void RefuseUnfinished() override {
    boost::asio::post(Lowest().get_executor(), [self = Self()] {
      if (!self->m_is_closed && self->m_state == State::kReading) self->EndReading();
    });
  }

  void CloseGracefully() override {
    boost::asio::post(Lowest().get_executor(), [self = Self()] { self->CloseWhenIdle(); });
  }

  void Respond(std::uint64_t sequence, HttpResponse response) override {
    boost::asio::dispatch(Lowest().get_executor(), [self = Self(), sequence, response = std::move(response)]() mutable {
      if (self->m_state != State::kWaitingForResponse || self->m_sequence != sequence) return;
      self->Send(std::move(response), self->m_parser->get().keep_alive());
    });
  }

  void SetOnGone(std::function<void()> on_gone) override { m_on_gone = std::move(on_gone); }

 private:
  using ErrorCode = boost::beast::error_code;
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
  static constexpr bool kIsTls = !std::is_same_v<Stream, boost::beast::tcp_stream>;
  enum class State { kIdle, kReading, kWaitingForResponse, kWriting };
  static constexpr std::size_t kReadChunkBytes = 8192;
  static constexpr int kUnavailable = 503;
  /// Bytes of the read buffer of an idle connection. Small, as thousands of connections may be idle.
  static constexpr std::size_t kIdleReadBytes = 512;
  /// Memory of one header field beside its text: a field without a value takes 146 bytes in the parser and in the
  /// request together.
  static constexpr std::size_t kFieldBytes = 160;
  /// Idle connections stay open this long after shutdown begins, so that a request already sent by the client is
  /// served.
  static constexpr std::chrono::milliseconds kShutdownGracePeriod{250};

  auto Self() { return this->shared_from_this(); }
  boost::beast::tcp_stream& Lowest() { return boost::beast::get_lowest_layer(m_stream); }

  void WaitForRequest() {
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_shared->options.max_header_bytes));
    m_parser->body_limit(m_shared->options.max_body_bytes);
    if (m_buffer.size() > 0) return ReadHeader();
    m_buffer.shrink_to_fit();
    m_shared->budget.Release(this);
    m_state = State::kIdle;
    Lowest().expires_after(m_shared->options.idle_timeout);
    if (m_shared->is_shutting_down) CloseWhenIdle();
    m_stream.async_read_some(m_buffer.prepare(kIdleReadBytes), [self = Self()](ErrorCode ec, std::size_t size) {
      if (ec) return self->Close();
      self->m_buffer.commit(size);
      self->ReadHeader();
    });
  }

  void ReadHeader() {
    m_state = State::kReading;
    m_header_memory = 0;
    if (m_shared->is_refusing) return RefuseEvicted();
    m_shared->SetWaiting(this);
    Lowest().expires_after(m_shared->options.header_timeout);
    if (!HoldForReading()) return RefuseForMemory();
    // Beast reads no more than the capacity of the buffer, or 512 bytes, at a time.
    m_buffer.reserve(kReadChunkBytes);
    boost::beast::http::async_read_header(m_stream, m_buffer, *m_parser, [self = Self()](ErrorCode ec, std::size_t) {
      if (self->m_is_evicted) return self->RefuseEvicted();
      if (ec) return self->RejectRequest(ec);
      self->AcceptBody();
    });
  }

  void AcceptBody() {
    m_header_memory = CountFields() * kFieldBytes;
    // The body is read in parts, and each part is counted before the next one is read.
    m_parser->eager(true);
    const auto expect = m_parser->get()[boost::beast::http::field::expect];
    Lowest().expires_after(m_shared->options.body_timeout);
    if (!boost::beast::iequals(expect, "100-continue")) return ReadBody();
    static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::asio::async_write(m_stream, boost::asio::buffer(kContinue), [self = Self()](ErrorCode ec, std::size_t) {
      if (self->m_is_evicted) return self->RefuseEvicted();
      if (ec) return self->Close();
      self->ReadBody();
    });
  }

  void ReadBody() {
    if (m_parser->is_done()) return Dispatch();
    if (!HoldForReading()) return RefuseForMemory();
    ++m_shared->body_reads;
    boost::beast::http::async_read_some(m_stream, m_buffer, *m_parser, [self = Self()](ErrorCode ec, std::size_t) {
      if (self->m_is_evicted) return self->RefuseEvicted();
      if (ec) return self->RejectRequest(ec);
      self->ReadBody();
    });
  }

  /// Claims the memory of the request that is being read. The read buffer counts in full, as it may grow up to its
  /// limit within one read.
  bool HoldForReading() {
    const std::size_t bytes = m_buffer.max_size() + m_header_memory + m_parser->get().body().capacity();
    return m_shared->budget.Hold(Self(), bytes, MemoryBudget::Phase::kTransfer);
  }

  std::size_t CountFields() const {
    const auto& message = m_parser->get();
    return static_cast<std::size_t>(std::distance(message.begin(), message.end()));
  }

  void Dispatch() {
    auto& message = m_parser->get();
    const std::size_t bytes = m_buffer.max_size() + CountFields() * kFieldBytes +
                              message.body().capacity() * HttpServerOptions::kCopiesOfBody;
    if (!m_shared->budget.Hold(Self(), bytes, MemoryBudget::Phase::kHandling)) return RefuseForMemory();
    m_shared->SetNotWaiting(this);
    ++m_shared->requests;
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
      request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(message.body());
    m_state = State::kWaitingForResponse;
    Lowest().expires_never();
    WatchForClose();
    m_shared->handler(std::move(request), HttpResponder(this->weak_from_this(), ++m_sequence));
  }

  /// Gives up the request that is being read, or closes the connection if it is idle or does not take its response.
  void GiveUp() {
    if (m_is_closed || m_state == State::kWaitingForResponse) return;
    if (m_state != State::kReading) return Close();
    EndReading();
  }

  /// Ends the pending operation. It refers to the buffer and the parser, so they are released when it has ended.
  void EndReading() {
    m_is_evicted = true;
    ErrorCode ignored;
    Lowest().socket().cancel(ignored);
  }

  void RefuseEvicted() {
    if (!m_shared->is_refusing) return RefuseForMemory();
    m_discards_rest = true;
    HttpResponse response =
        ProblemResponse(kUnavailable, Error{ErrorId::kQueueFull, "request", "the instance stops"}, Verdict::kNotRun);
    response.headers.emplace_back("Retry-After", "1");
    Refuse(std::move(response));
  }

  void RefuseForMemory() {
    ++m_shared->refused_for_memory;
    HttpResponse response = ProblemResponse(
        kUnavailable, Error{ErrorId::kQueueFull, "request", "too much memory held by requests"}, Verdict::kNotRun);
    response.headers.emplace_back("Retry-After", "1");
    Refuse(std::move(response));
  }

  /// Releases what was read of the request, and closes the connection after the response.
  void Refuse(HttpResponse response) {
    m_parser.reset();
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    m_shared->budget.Release(this);
    Send(std::move(response), false);
  }

  /// Detects that the client closed the connection while its request is in flight.
  void WatchForClose() {
    Lowest().socket().async_wait(
        boost::asio::ip::tcp::socket::wait_read, [self = Self(), sequence = m_sequence + 1](ErrorCode ec) {
          if (ec || self->m_state != State::kWaitingForResponse || self->m_sequence != sequence) return;
          if (!self->IsClosedByClient()) return;
          ++self->m_shared->abandoned;
          self->Close();
        });
  }

  bool IsClosedByClient() {
    std::array<char, 1> byte{};
    const ssize_t size = ::recv(Lowest().socket().native_handle(), byte.data(), byte.size(), MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR);
  }

  void RejectRequest(ErrorCode ec) {
    namespace http = boost::beast::http;
    if (ec == http::error::body_limit) {
      ++m_shared->refused_for_body;
      return SendProblem(413, ErrorId::kInputTooLarge, "body too large");
    }
    // The read buffer overflows if it can't hold a chunk header or the trailers.
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
      ++m_shared->refused_for_header;
      return SendProblem(431, ErrorId::kInputTooLarge, "header or trailers too large");
    }
    const bool is_malformed = ec.category() == http::make_error_code(http::error::bad_method).category();
    if (is_malformed && ec != http::error::end_of_stream && ec != http::error::partial_message) {
      return SendProblem(400, ErrorId::kInputSyntax, "malformed HTTP request: " + ec.message());
    }
    Close();
  }

  /// Refuses the request and closes the connection.
  void SendProblem(int status, ErrorId id, const std::string& reason) {
    m_parser.reset();
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    Send(ProblemResponse(status, Error{id, "request", reason}, Verdict::kNotRun), false);
  }

  void Send(HttpResponse response, bool keep_alive) {
    m_on_gone = nullptr;
    m_state = State::kWriting;
    m_shared->SetNotWaiting(this);
    ErrorCode ignored;
    Lowest().socket().cancel(ignored);
    // A response is sent even if it exceeds the limit, as its memory is in use already and its request has run.
    m_shared->budget.Hold(Self(), kFieldBytes * response.headers.size() + response.body.capacity(),
                          MemoryBudget::Phase::kTransfer);
    m_response.result(static_cast<unsigned>(response.status));
    for (const auto& [name, value] : response.headers) m_response.set(name, value);
    m_response.body() = std::move(response.body);
    m_response.keep_alive(keep_alive && !m_shared->is_shutting_down);
    m_response.prepare_payload();
    Lowest().expires_after(m_shared->options.write_timeout);
    boost::beast::http::async_write(m_stream, m_response, [self = Self()](ErrorCode ec, std::size_t) {
      const bool keeps_alive = self->m_response.keep_alive();
      self->m_response = {};
      if (!ec && self->m_discards_rest) return self->DiscardRest();
      if (ec || !keeps_alive) return self->Close();
      self->WaitForRequest();
    });
  }

  /// Reads until the client closes the connection. Closing it with unread bytes would reset it, and the client could
  /// lose the response.
  void DiscardRest() {
    ErrorCode ignored;
    Lowest().socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    Lowest().expires_after(m_shared->options.body_timeout);
    Lowest().async_read_some(m_buffer.prepare(m_buffer.max_size()), [self = Self()](ErrorCode ec, std::size_t) {
      if (ec) return self->Close();
      self->DiscardRest();
    });
  }

  void CloseWhenIdle() {
    m_shutdown_timer.expires_after(kShutdownGracePeriod);
    m_shutdown_timer.async_wait([self = Self()](ErrorCode ec) {
      if (ec || self->m_state != State::kIdle) return;
      // A request that has arrived is served, as a busy thread may not have read it yet.
      ErrorCode ignored;
      if (self->Lowest().socket().available(ignored) == 0) self->Close();
    });
  }

  void Close() {
    if (m_is_closed) return;
    m_is_closed = true;
    ErrorCode ignored;
    Lowest().socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    Lowest().close();
    m_shutdown_timer.cancel();
    const bool was_waiting = m_state == State::kWaitingForResponse;
    m_state = State::kWriting;
    m_shared->budget.Release(this);
    const auto on_gone = std::exchange(m_on_gone, nullptr);
    if (was_waiting && on_gone) on_gone();
    m_shared->Remove(this);
  }

  const std::shared_ptr<HttpServerState> m_shared;
  Stream m_stream;
  boost::asio::steady_timer m_shutdown_timer;
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  boost::beast::http::response<boost::beast::http::string_body> m_response;
  std::function<void()> m_on_gone;
  std::uint64_t m_sequence = 0;
  std::size_t m_header_memory = 0;
  State m_state = State::kIdle;
  bool m_is_evicted = false;
  bool m_discards_rest = false;  ///< after the response, until the client closes the connection
  bool m_is_closed = false;
};

}  // namespace jaymast
