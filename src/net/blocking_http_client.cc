#include "net/blocking_http_client.h"

#include <future>
#include <utility>

#include "net/io_pool.h"

namespace jaymast {

BlockingHttpClient::BlockingHttpClient(std::shared_ptr<TlsContext> tls) : m_pool(std::make_unique<IoPool>(1)) {
  HttpClientOptions options;
  options.tls = std::move(tls);
  m_client = std::make_unique<HttpClient>(*m_pool, std::move(options));
}

BlockingHttpClient::~BlockingHttpClient() { m_pool->Stop(); }

HttpResult BlockingHttpClient::Call(const std::string& address, HttpRequest request,
                                    std::chrono::milliseconds timeout) {
  std::promise<HttpResult> promise;
  std::future<HttpResult> result = promise.get_future();
  m_client->Send(address, std::move(request), std::chrono::steady_clock::now() + timeout,
                 [&promise](HttpResult http_result) { promise.set_value(std::move(http_result)); });
  return result.get();
}

}  // namespace jaymast
