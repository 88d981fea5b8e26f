#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "jobs/job_spec.h"

namespace jaymast {

/// Request to the policy service: which of these upstreams may run a step?
struct PolicyRequest {
  JobId job;
  std::size_t occurrence = 0;
  std::size_t step = 0;
  std::vector<UpstreamId> upstreams;
  std::vector<std::int64_t> incarnations;  ///< of the upstreams when the call was made; not sent to other instances
  std::int64_t expected_ms = 0;            ///< expected duration of the call
  std::int64_t timeout_ms = 0;             ///< time after which the call is given up
};

struct PolicyReply {
  bool is_answered = false;
  bool may_be_pending = false;  ///< there is no reply, and the service may still handle the call
  std::vector<std::pair<UpstreamId, std::string>> tickets;  ///< one for each upstream that may run the step
  std::int64_t ticket_ms = 0;                               ///< validity of the tickets, 0 if not reported
};

/// Calls the policy service, which takes one call at a time from each instance.
class PolicyClient {
 public:
  virtual ~PolicyClient() = default;
  /// @param caller peer address of the instance that makes the call, empty for this one
  virtual void RequestTickets(const std::string& caller, const PolicyRequest& request,
                              std::function<void(PolicyReply)> done) = 0;
};

}  // namespace jaymast
