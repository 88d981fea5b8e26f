#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "base/id.h"
#include "base/resources.h"
#include "core/upstream_protocol.h"

namespace jaymast {

/// What a team is entitled to when every team with demand gets its weighted share.
struct Entitlement {
  double dominant_share = 0;  ///< part of the cluster's capacity of the team's dominant resource, 0 to 1
  Resources amount;
};

/// A running task that may be checkpointed to give capacity back.
struct PreemptionCandidate {
  AttemptId id;
  TeamId team;
  UpstreamId upstream;
  Resources used;
  std::int64_t checkpoint_ms = 0;  ///< expected time to checkpoint and to restore
  bool can_checkpoint = false;     ///< false when a stop would lose the work done so far
};

/// Capacity wanted by a team below its entitled share.
struct PreemptionRequest {
  TeamId team;
  Resources demand;
  std::size_t max_victims = 4;
  std::map<TeamId, Entitlement> entitled;
  std::map<UpstreamId, Resources> free;  ///< upstreams where the task may run, with their free capacity
};

}  // namespace jaymast
