#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "base/result.h"
#include "runtime/settings.h"

namespace jaymast {

class CoreDriver;
class Effects;

/// Runs an entry process: the control thread with the decision core, and the traffic threads with the network I/O.
class EntryProcess {
 public:
  using CoreFactory = std::function<std::unique_ptr<CoreDriver>(const EntrySettings&, Effects&)>;

  /// Opens the ports and starts the threads.
  /// @return the process, or an error that names the address or file that cannot be used
  static Result<std::unique_ptr<EntryProcess>> Start(Settings settings, const CoreFactory& make_core);

  /// Stops all threads. Requests in flight are aborted unless a graceful stop has finished.
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  std::string http_address() const;
  std::string peer_address() const;

  /// Starts the graceful stop. Does not block.
  void RequestStop();

  /// Waits until the core has stopped and the responses to the requests in flight are sent.
  /// @return false if that took longer than the timeout
  bool WaitUntilStopped(std::chrono::milliseconds timeout);

  /// Reloads the TLS files, for new connections.
  void ReloadTls();

 private:
  struct Parts;

  EntryProcess();
  std::optional<Error> Open(Settings settings, const CoreFactory& make_core);
  std::optional<Error> LoadTls(Settings& settings);
  void ServeHttp(const HttpRequest& request, const HttpResponder& responder);
  std::string RenderMetrics() const;
  std::optional<Time> UpdateState();

  std::unique_ptr<Parts> m_parts;
  std::atomic<bool> m_is_ready = false;
  EntryId m_core_id;  ///< used by the control thread only
  std::mutex m_mutex;
  std::condition_variable m_stopped;
  bool m_is_stopped = false;
};

}  // namespace jaymast
