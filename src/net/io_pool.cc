#include "net/io_pool.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <thread>

namespace jaymast {

struct IoPool::Worker {
  // One thread runs the context, but other threads post to it. It needs its lock, so the concurrency hint is 1 and not
  // BOOST_ASIO_CONCURRENCY_HINT_UNSAFE.
  boost::asio::io_context context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard{context.get_executor()};
  std::thread thread;
};

IoPool::IoPool(std::size_t threads) {
  for (std::size_t i = 0; i < threads; ++i) m_workers.push_back(std::make_unique<Worker>());
  for (const auto& worker : m_workers) worker->thread = std::thread([&context = worker->context] { context.run(); });
}

IoPool::~IoPool() {
  Stop();
  // Connections in other contexts refer to acceptors in the first one, so the contexts are destroyed in reverse order.
  while (!m_workers.empty()) m_workers.pop_back();
}

std::size_t IoPool::size() const { return m_workers.size(); }

boost::asio::io_context& IoPool::Context(std::size_t index) { return m_workers[index % m_workers.size()]->context; }

void IoPool::RunAndWait(std::size_t index, const std::function<void()>& function) {
  if (m_is_stopped) return function();
  std::promise<void> done;
  boost::asio::post(Context(index), [&function, &done] {
    function();
    done.set_value();
  });
  done.get_future().wait();
}

void IoPool::Stop() {
  m_is_stopped = true;
  for (const auto& worker : m_workers) worker->context.stop();
  for (const auto& worker : m_workers) {
    if (worker->thread.joinable()) worker->thread.join();
  }
}

}  // namespace jaymast
