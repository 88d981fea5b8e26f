#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "model/instance_list.h"

namespace jaymast {

class HttpClient;
class IoPool;

/// Reads the instance list of the platform at a fixed interval.
class InstancePoller {
 public:
  /// Called on a traffic thread with each list that was read.
  using Receiver = std::function<void(InstanceList)>;

  InstancePoller(IoPool& pool, HttpClient& client, std::string address, std::chrono::milliseconds timeout,
                 std::chrono::milliseconds interval, Receiver receiver);

  /// Stops to poll. Must not be called from a thread of the pool.
  ~InstancePoller();
  InstancePoller(const InstancePoller&) = delete;
  InstancePoller& operator=(const InstancePoller&) = delete;

 private:
  class Worker;

  IoPool& m_pool;
  std::shared_ptr<Worker> m_worker;
};

}  // namespace jaymast
