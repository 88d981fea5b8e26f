#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "base/id.h"
#include "base/resources.h"
#include "core/upstream_protocol.h"

namespace jaymast {

/// Share of the cluster that a team is entitled to by weighted fairness.
struct Entitlement {
  double dominant_share = 0;  ///< fraction of the cluster's capacity of the dominant resource, 0 to 1
  Resources amount;
};

/// A running task that may be checkpointed to free capacity.
struct PreemptionCandidate {
  AttemptId id;
  TeamId team;
  UpstreamId upstream;
  Resources used;
  std::int64_t checkpoint_ms = 0;  ///< expected time to checkpoint and restore
  bool can_checkpoint = false;     ///< if false, stopping the task would lose its progress
};

/// Demand of a team below its entitled share.
struct PreemptionRequest {
  TeamId team;
  Resources demand;
  std::size_t max_victims = 4;
  std::map<TeamId, Entitlement> entitled;
  std::map<UpstreamId, Resources> free;  ///< upstreams where the task may run, with their free capacity
};

}  // namespace jaymast
