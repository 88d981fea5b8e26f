#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "model/instance_list.h"
#include "net/http_server.h"
#include "standin/table_faults.h"

namespace jaymast {

struct StandinPlatformSettings {
  std::string address;                   ///< IP number and port
  std::int64_t reads_per_second = 2000;  ///< budget of the table service
  std::int64_t writes_per_second = 400;  ///< budget of the table service
  std::size_t max_object_bytes = 256U << 20U;
  Duration list_lag = std::chrono::milliseconds(500);
  TableFaults faults;  ///< faults from the start, for example a latency
  InstanceList instances;
};

/// The fake platform on one port: table service, object store and instance list. It may be used from any thread.
class PlatformServer {
 public:
  /// @return the running server, or an error with the address when it cannot be used
  static Result<std::unique_ptr<PlatformServer>> Listen(IoPool& pool, const StandinPlatformSettings& settings);
  ~PlatformServer();
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  std::string address() const;

  TableFaults faults() const;

  /// Injects faults into the table service and the object store. The instance list stays available.
  void SetFaults(const TableFaults& faults);

  /// Marks exactly these instances as leaving; readers see it after the lag.
  /// @return an error that names the first unknown instance
  Result<bool> SetLeaving(const std::set<UpstreamId>& leaving);

  void BeginShutdown();
  bool WaitForShutdown(std::chrono::milliseconds timeout);

 private:
  struct Shared;
  PlatformServer(std::shared_ptr<Shared> shared, std::unique_ptr<HttpServer> server);

  std::shared_ptr<Shared> m_shared;
  std::unique_ptr<HttpServer> m_server;
};

}  // namespace jaymast
