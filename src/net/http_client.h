#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "net/http_message.h"

namespace jaymast {

class IoPool;
class TlsContext;

/// Delivery status of a request.
enum class SendStatus {
  kAnswered,
  kNotSent,  ///< no byte of the request was sent
  kUnknown,  ///< the server may have received the request
};

template <>
struct EnumNames<SendStatus> {
  static constexpr std::array<std::string_view, 3> kNames = {"answered", "not_sent", "unknown"};
};

struct HttpResult {
  SendStatus status = SendStatus::kUnknown;
  HttpResponse response;           ///< set if the status is kAnswered
  std::string reason;              ///< why there is no response
  std::size_t received_bytes = 0;  ///< of the response, also if the rest of it is missing
  std::size_t reads = 0;           ///< of the socket, each of which takes a turn of the event loop
};

struct HttpClientOptions {
  std::size_t max_connections_per_host = 64;
  std::size_t max_queued_per_host = 4096;  ///< requests that wait for a connection
  std::size_t max_response_bytes = 64U << 20U;
  std::size_t max_header_bytes = 16U << 10U;  ///< of the header of a response, and of its trailers
  std::size_t max_held_bytes = 256U << 20U;   ///< of the responses of all addresses that are being read
  std::chrono::milliseconds connect_timeout{3'000};
  /// Whether a missed deadline also closes the idle connections to the address if they may be dead as well: none that
  /// was open when the request was sent has received anything since, for longer than an ordinary response takes.
  bool closes_idle_on_timeout = false;
  std::chrono::milliseconds late_response_time{
      2'000};                                      ///< how long a connection waits for a response past its deadline
  std::chrono::milliseconds idle_timeout{20'000};  ///< shorter than that of the server, so that reuse rarely fails
  std::shared_ptr<TlsContext> tls;                 ///< plain HTTP when empty
};

/// Asynchronous HTTP/1.1 client with a pool of connections per address.
///
/// A request is never retried: the caller decides from the status. A connection whose request missed its deadline takes
/// no other request until the late response has been read and discarded. It is closed if that response is late by more
/// than late_response_time, or is large, or if queued requests need the connection and more than half of all wait for
/// late responses.
class HttpClient {
 public:
  using Callback = std::function<void(HttpResult)>;
  using Deadline = std::chrono::steady_clock::time_point;

  HttpClient(IoPool& pool, HttpClientOptions options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request. May be called from any thread.
  /// @param address IP:port
  /// @param deadline latest time at which `done` is called
  /// @param done called once, on an I/O thread
  void Send(const std::string& address, HttpRequest request, Deadline deadline, Callback done);

  /// Sends the request that `make_request` creates on an I/O thread, so that the calling thread does not encode it.
  void Send(const std::string& address, std::function<HttpRequest()> make_request, Deadline deadline, Callback done);

  /// When a part of any response arrived last, the epoch of the clock if none has.
  std::chrono::steady_clock::time_point last_received() const;

  /// Bytes of the responses that are being read.
  std::size_t held_bytes() const;
  /// Number of responses that were given up because all together exceeded max_held_bytes.
  std::uint64_t evicted_responses() const;

  /// Current values of gauges and counters about connections and queued requests, by the end of the metric name.
  std::map<std::string, double> LoadMetrics() const;

 private:
  struct Shared;
  std::shared_ptr<Shared> m_shared;
};

}  // namespace jaymast
