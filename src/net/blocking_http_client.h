#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "net/http_client.h"

namespace jaymast {

/// HTTP client for command-line programs: each call waits for its result. Connections are kept between calls.
class BlockingHttpClient {
 public:
  /// @param tls parameters for TLS, or empty for plain HTTP
  explicit BlockingHttpClient(std::shared_ptr<TlsContext> tls = nullptr);
  ~BlockingHttpClient();
  BlockingHttpClient(const BlockingHttpClient&) = delete;
  BlockingHttpClient& operator=(const BlockingHttpClient&) = delete;

  /// Sends a request and waits for the result, at most for the timeout.
  /// @param address IP number and port
  HttpResult Call(const std::string& address, HttpRequest request, std::chrono::milliseconds timeout);

 private:
  std::unique_ptr<IoPool> m_pool;
  std::unique_ptr<HttpClient> m_client;
};

}  // namespace jaymast
