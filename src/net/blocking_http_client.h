#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "net/http_client.h"

namespace jaymast {

/// Sends HTTP requests and blocks until each completes, for command-line programs. Connections are reused between
/// calls.
class BlockingHttpClient {
 public:
  /// @param tls TLS parameters, or null for plain HTTP
  explicit BlockingHttpClient(std::shared_ptr<TlsContext> tls = nullptr);
  ~BlockingHttpClient();
  BlockingHttpClient(const BlockingHttpClient&) = delete;
  BlockingHttpClient& operator=(const BlockingHttpClient&) = delete;

  /// Sends a request and waits for its result, at most for `timeout`.
  /// @param address IP:port
  HttpResult Call(const std::string& address, HttpRequest request, std::chrono::milliseconds timeout);

 private:
  std::unique_ptr<IoPool> m_pool;
  std::unique_ptr<HttpClient> m_client;
};

}  // namespace jaymast
