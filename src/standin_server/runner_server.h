#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "core/event.h"
#include "net/http_server.h"
#include "standin/runner_state.h"

namespace jaymast {

/// One fake runner on its own port. It may be used from any thread.
class RunnerServer {
 public:
  /// @param index number of the runner, which selects the traffic thread of its timer
  /// @return the running server, or an error with the address when it cannot be used
  static Result<std::unique_ptr<RunnerServer>> Listen(IoPool& pool, std::size_t index, const std::string& address,
                                                      RunnerSettings settings, RunnerState::EventCallback emit);
  ~RunnerServer();
  RunnerServer(const RunnerServer&) = delete;
  RunnerServer& operator=(const RunnerServer&) = delete;

  const UpstreamId& id() const;
  std::string address() const;

  RunnerFaults faults() const;

  /// Injects faults. Requests that arrived during a hang are handled when it ends.
  void SetFaults(const RunnerFaults& faults);

  /// Begins a graceful shutdown: requests in flight are answered.
  void BeginShutdown();
  bool WaitForShutdown(std::chrono::milliseconds timeout);

 private:
  struct Shared;
  RunnerServer(std::shared_ptr<Shared> shared, std::unique_ptr<HttpServer> server);

  std::shared_ptr<Shared> m_shared;
  std::unique_ptr<HttpServer> m_server;
};

}  // namespace jaymast
