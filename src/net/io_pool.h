#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace jaymast {

/// Runs I/O threads. Each thread has its own io_context, so that the state of a connection needs no lock.
class IoPool {
 public:
  explicit IoPool(std::size_t threads);

  /// Calls Stop().
  ~IoPool();
  IoPool(const IoPool&) = delete;
  IoPool& operator=(const IoPool&) = delete;

  std::size_t size() const;

  /// Returns the io_context of the thread with number `index` modulo size().
  boost::asio::io_context& Context(std::size_t index);

  /// Calls a function on the thread with number `index` modulo size() and waits for it. Calls it directly when the pool
  /// is stopped. Must not be called from a thread of the pool.
  void RunAndWait(std::size_t index, const std::function<void()>& function);

  /// Stops all contexts and joins the threads. Handlers that did not run are destroyed with the pool.
  void Stop();

 private:
  struct Worker;
  std::vector<std::unique_ptr<Worker>> m_workers;
  bool m_is_stopped = false;
};

}  // namespace jaymast
