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

/// Asks which of some upstreams may run a step.
struct PolicyRequest {
  JobId job;
  std::size_t occurrence = 0;
  std::size_t step = 0;
  std::vector<UpstreamId> upstreams;
  std::int64_t expected_ms = 0;  ///< time that the policy service needs
};

struct PolicyReply {
  bool is_answered = false;
  std::vector<std::pair<UpstreamId, std::string>> tickets;  ///< of the upstreams that may run the step
  std::int64_t ticket_ms = 0;                               ///< life of the tickets, 0 when not told
};

/// The policy service takes one call at a time from each instance, so calls are spread over instances.
class PolicyClient {
 public:
  virtual ~PolicyClient() = default;
  /// @param agent peer address of the instance that makes the call, empty for this one
  virtual void RequestTickets(const std::string& caller, const PolicyRequest& request,
                              std::function<void(PolicyReply)> done) = 0;
};

}  // namespace jaymast
