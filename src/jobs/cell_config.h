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

/// Cost of a call to the policy service and life of its tickets.
struct PolicyConfig {
  double call_ms = 0;          ///< time of a call that names no upstream
  double per_upstream_ms = 0;  ///< further time for each upstream named
  std::int64_t ticket_ms = 0;  ///< how long a ticket can be used
};

/// Clients reach a queue by host and longest matching path prefix.
struct QueueConfig {
  QueueId id;
  std::string host;
  std::string prefix;
  ServiceId service;                    ///< upstreams that run the queue's tasks
  std::int64_t priority = 0;            ///< 0 comes first
  std::int64_t max_attempts = 1;        ///< failed runs of a task after which the job has failed
  double stretch = 1;                   ///< allowed factor on the longest chain of work
  std::int64_t target_duration_ms = 0;  ///< allowed on top of the stretched chain
  std::int64_t request_timeout_ms = 0;  ///< bound of a client's call
  bool is_public = false;               ///< no key is asked for
  std::optional<PolicyConfig> policy;   ///< set when tickets are needed
};

struct TeamConfig {
  TeamId id;
  double weight = 1;  ///< share when all is full; jobs a second that are always owed an answer
  Resources limit;    ///< most that may run at a time; 0 means no limit
};

/// One version of the whole configuration.
struct CellConfig {
  std::int64_t version = 0;
  std::vector<QueueConfig> queues;
  std::map<TeamId, TeamConfig> teams;
  std::map<std::string, TeamId, std::less<>> team_of_key;

  /// Queue with the longest prefix of the path on this host, or nullptr.
  const QueueConfig* FindQueue(std::string_view host, std::string_view path) const;
};

}  // namespace jaymast
