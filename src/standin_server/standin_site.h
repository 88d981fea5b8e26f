#pragma once

#include <memory>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "standin_server/platform_server.h"
#include "standin_server/runner_server.h"

namespace jaymast {

struct StandinSettings;

/// All fakes of one process and the port that controls their faults.
class StandinSite {
 public:
  /// Starts everything that the settings name.
  /// @return the running site, or the first error
  static Result<std::unique_ptr<StandinSite>> Start(IoPool& pool, const StandinSettings& settings,
                                                    const RunnerState::EventCallback& emit);
  ~StandinSite();
  StandinSite(const StandinSite&) = delete;
  StandinSite& operator=(const StandinSite&) = delete;

  /// Addresses in use, one line each, for people.
  std::string Describe() const;

  /// IP number and port of the control route, empty when there is none.
  std::string control_address() const { return m_control ? m_control->address() : ""; }

  /// Handles the body of POST /v1/faults. A fault that the body does not name stays as it is.
  /// @return an input error with the path of the offending field; nothing has changed then
  Result<bool> ApplyFaults(const std::string& body);

  /// Stops gracefully: requests in flight are answered, at most until the timeout.
  /// @return whether all connections were closed in time
  bool Shutdown(std::chrono::milliseconds timeout);

 private:
  StandinSite() = default;
  void OnControl(const HttpRequest& request, const HttpResponder& responder);
  RunnerServer* FindRunner(const UpstreamId& id) const;

  std::unique_ptr<PlatformServer> m_platform;
  std::vector<std::unique_ptr<RunnerServer>> m_runners;
  std::unique_ptr<HttpServer> m_control;
};

}  // namespace jaymast
