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

/// All parts of an entry process: the control thread with the decision core, and the traffic threads.
class EntryProcess {
 public:
  using CoreFactory = std::function<std::unique_ptr<CoreDriver>(const EntrySettings&, Effects&)>;

  /// Opens the ports and starts the threads.
  /// @return the process, or an error with the address or file that cannot be used
  static Result<std::unique_ptr<EntryProcess>> Start(Settings settings, const CoreFactory& make_core);

  /// Stops all threads. Without a graceful stop before, requests in flight are cut.
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  std::string http_address() const;
  std::string peer_address() const;

  /// Begins the graceful stop.
  void RequestStop();

  /// Waits until the core has stopped and the requests in flight are answered.
  /// @return false if that took longer than the timeout
  bool WaitUntilStopped(std::chrono::milliseconds timeout);

  /// Reads the TLS files again, for new connections.
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
