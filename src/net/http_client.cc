#include "net/http_client.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <mutex>
#include <unordered_map>
#include <utility>

#include "net/http_client_host.h"
#include "net/http_client_load.h"
#include "net/io_pool.h"
#include "net/memory_budget.h"

namespace jaymast {

struct HttpClient::Shared {
  Shared(IoPool& io_pool, HttpClientOptions client_options)
      : pool(io_pool),
        options(std::move(client_options)),
        budget(std::make_shared<MemoryBudget>(options.max_held_bytes)),
        last_received(std::make_shared<HttpClientHost::ReceiveTime>()),
        load(std::make_shared<HttpClientLoad>()) {}

  std::shared_ptr<HttpClientHost> Host(const std::string& address) {
    const std::lock_guard lock(mutex);
    std::shared_ptr<HttpClientHost>& host = hosts[address];
    if (host == nullptr) {
      host = std::make_shared<HttpClientHost>(pool.Context(next++), address, options, budget, last_received, load);
    }
    return host;
  }

  IoPool& pool;
  const HttpClientOptions options;
  const std::shared_ptr<MemoryBudget> budget;
  const std::shared_ptr<HttpClientHost::ReceiveTime> last_received;
  const std::shared_ptr<HttpClientLoad> load;
  std::mutex mutex;  ///< guards hosts and next
  std::unordered_map<std::string, std::shared_ptr<HttpClientHost>> hosts;
  std::size_t next = 0;
};

HttpClient::HttpClient(IoPool& pool, HttpClientOptions options)
    : m_shared(std::make_shared<Shared>(pool, std::move(options))) {}

HttpClient::~HttpClient() = default;

std::chrono::steady_clock::time_point HttpClient::last_received() const { return m_shared->last_received->load(); }

std::size_t HttpClient::held_bytes() const { return m_shared->budget->held_bytes(); }

std::uint64_t HttpClient::evicted_responses() const { return m_shared->budget->evicted(); }

std::map<std::string, double> HttpClient::LoadMetrics() const {
  const HttpClientLoad& load = *m_shared->load;
  std::map<std::string, double> metrics{{"connects", static_cast<double>(load.connects)},
                                        {"failed_connects", static_cast<double>(load.failed_connects)},
                                        {"requests", static_cast<double>(load.requests)},
                                        {"reused_requests", static_cast<double>(load.reused_requests)},
                                        {"missed_queued", static_cast<double>(load.missed_queued)},
                                        {"missed_sent", static_cast<double>(load.missed_sent)},
                                        {"late_responses", static_cast<double>(load.late_responses)},
                                        {"closed_by_miss", static_cast<double>(load.closed_by_miss)},
                                        {"idle_closed_by_miss", static_cast<double>(load.idle_closed_by_miss)}};
  const auto now = std::chrono::steady_clock::now();
  auto oldest_queued_at = now;
  std::size_t queued = 0;
  std::size_t open = 0;
  std::size_t connecting = 0;
  std::size_t idle = 0;
  std::size_t late = 0;
  const std::lock_guard lock(m_shared->mutex);
  for (const auto& [address, host] : m_shared->hosts) {
    const HttpClientHost::Gauges& gauges = host->gauges();
    oldest_queued_at = std::min(oldest_queued_at, gauges.oldest_queued_at.load());
    queued += gauges.queued;
    open += gauges.open;
    connecting += gauges.connecting;
    idle += gauges.idle;
    late += gauges.late;
  }
  metrics["queued"] = static_cast<double>(queued);
  metrics["oldest_queued_seconds"] = std::chrono::duration<double>(now - oldest_queued_at).count();
  metrics["open_connections"] = static_cast<double>(open);
  metrics["connecting"] = static_cast<double>(connecting);
  metrics["idle_connections"] = static_cast<double>(idle);
  metrics["late_connections"] = static_cast<double>(late);
  return metrics;
}

void HttpClient::Send(const std::string& address, HttpRequest request, Deadline deadline, Callback done) {
  const auto shared_request = std::make_shared<HttpRequest>(std::move(request));
  Send(
      address, [shared_request] { return std::move(*shared_request); }, deadline, std::move(done));
}

void HttpClient::Send(const std::string& address, std::function<HttpRequest()> make_request, Deadline deadline,
                      Callback done) {
  std::shared_ptr<HttpClientHost> host = m_shared->Host(address);
  boost::asio::io_context& context = host->context();
  boost::asio::post(context, [host = std::move(host), make_request = std::move(make_request), deadline,
                              done = std::move(done)] { host->Send(make_request(), deadline, done); });
}

}  // namespace jaymast
