#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/id.h"
#include "base/resources.h"
#include "jobs/job_spec.h"

namespace jaymast {

using ServiceId = Id<struct ServiceTag>;

/// Durations of the policy service's calls and lifetime of its tickets, in ms.
struct PolicyConfig {
  double call_ms = 0;          ///< fixed duration of a call
  double per_upstream_ms = 0;  ///< additional duration for each upstream in the call
  std::int64_t ticket_ms = 0;  ///< lifetime of a ticket
};

/// Queue of jobs. Client requests select it by host and longest matching path prefix.
struct QueueConfig {
  QueueId id;
  std::string host;
  std::string prefix;
  ServiceId service;                    ///< upstreams that run the queue's tasks
  std::int64_t priority = 0;            ///< 0 is the highest
  std::int64_t max_attempts = 1;        ///< the job fails when a task has failed this often
  double stretch = 1;                   ///< latency objective as a multiple of the critical path
  std::int64_t target_duration_ms = 0;  ///< added to the stretched critical path
  std::int64_t request_timeout_ms = 0;  ///< upper bound of a client call
  bool is_public = false;               ///< requests need no API key
  std::optional<PolicyConfig> policy;   ///< set if tasks need tickets of the policy service
};

struct TeamConfig {
  TeamId id;
  double weight = 1;  ///< share under contention; guaranteed admission rate in jobs/s
  Resources limit;    ///< maximum allocated at a time; 0 means no limit
};

/// One version of the complete configuration.
struct CellConfig {
  std::int64_t version = 0;
  std::vector<QueueConfig> queues;
  std::map<TeamId, TeamConfig> teams;
  std::map<std::string, TeamId, std::less<>> team_of_key;

  /// Returns the queue on this host with the longest matching path prefix, or nullptr.
  const QueueConfig* FindQueue(std::string_view host, std::string_view path) const;
};

}  // namespace jaymast
