#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "model/instance_list.h"

namespace jaymast {

class HttpClient;
class IoPool;

/// Polls the instance list of the platform, with a fixed interval between calls.
class InstancePoller {
 public:
  /// Called on a traffic thread with each valid list.
  using Receiver = std::function<void(InstanceList)>;

  InstancePoller(IoPool& pool, HttpClient& client, std::string address, std::chrono::milliseconds timeout,
                 std::chrono::milliseconds interval, Receiver receiver);

  /// Stops polling. Must not be called on a thread of the pool.
  ~InstancePoller();
  InstancePoller(const InstancePoller&) = delete;
  InstancePoller& operator=(const InstancePoller&) = delete;

 private:
  class Worker;

  IoPool& m_pool;
  std::shared_ptr<Worker> m_worker;
};

}  // namespace jaymast
