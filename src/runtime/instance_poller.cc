#include "runtime/instance_poller.h"

#include <glog/logging.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <utility>

#include "base/http_status.h"
#include "model/codec.h"
#include "net/http_client.h"
#include "net/io_pool.h"

namespace jaymast {

class InstancePoller::Worker : public std::enable_shared_from_this<Worker> {
 public:
  Worker(boost::asio::io_context& context, HttpClient& client, std::string address, std::chrono::milliseconds timeout,
         std::chrono::milliseconds interval, Receiver receiver)
      : m_context(context),
        m_timer(context),
        m_client(client),
        m_address(std::move(address)),
        m_timeout(timeout),
        m_interval(interval),
        m_receiver(std::move(receiver)) {}

  void Poll() {
    if (m_is_stopped) return;
    const auto deadline = std::chrono::steady_clock::now() + m_timeout;
    m_client.Send(m_address, HttpRequest{"GET", "/v1/instances", {}, ""}, deadline,
                  [self = shared_from_this()](const HttpResult& result) {
                    boost::asio::post(self->m_context, [self, result] { self->OnResult(result); });
                  });
  }

  void Stop() {
    m_is_stopped = true;
    m_timer.cancel();
  }

 private:
  void OnResult(const HttpResult& result) {
    if (m_is_stopped) return;
    if (result.status == SendStatus::kAnswered && result.response.status == kStatusOk) Deliver(result.response.body);
    m_timer.expires_after(m_interval);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
      if (!ec) self->Poll();
    });
  }

  void Deliver(const std::string& body) {
    const Result<boost::json::object> object = ParseObject(body, "instances");
    Result<InstanceList> list =
        object ? InstanceListFromJson(*object, "instances") : Result<InstanceList>(object.error());
    if (list) return m_receiver(std::move(*list));
    LOG(ERROR) << "jaymast.instances.malformed path=" << list.error().path << ": " << list.error().reason;
  }

  boost::asio::io_context& m_context;
  boost::asio::steady_timer m_timer;
  HttpClient& m_client;
  const std::string m_address;
  const std::chrono::milliseconds m_timeout;
  const std::chrono::milliseconds m_interval;
  const Receiver m_receiver;
  bool m_is_stopped = false;
};

InstancePoller::InstancePoller(IoPool& pool, HttpClient& client, std::string address, std::chrono::milliseconds timeout,
                               std::chrono::milliseconds interval, Receiver receiver)
    : m_pool(pool) {
  boost::asio::io_context& context = pool.Context(0);
  m_worker = std::make_shared<Worker>(context, client, std::move(address), timeout, interval, std::move(receiver));
  boost::asio::post(context, [worker = m_worker] { worker->Poll(); });
}

InstancePoller::~InstancePoller() {
  m_pool.RunAndWait(0, [this] { m_worker->Stop(); });
}

}  // namespace jaymast
