#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "core/upstream_protocol.h"
#include "model/upstream_info.h"
#include "upstream/upstream_health.h"

namespace jaymast {

/// An upstream that this entry owns.
struct OwnedUpstream {
  UpstreamInfo info;
  std::int64_t epoch = 0;
  std::int64_t reset_epoch = 0;  ///< the runner may have forgotten tasks claimed at a lower epoch
  bool is_committed = false;     ///< the owner row names this entry
  bool is_reachable = true;
  bool is_renewing = false;
  std::int64_t runner_now_ms = 0;  ///< the runner's clock in its last reply
  Time next_renewal;               ///< latest time of the next renewal
  Time last_reply_at;              ///< when the runner's last reply arrived
  UpstreamHealth health;
  std::set<AttemptId> tasks;
  std::set<AttemptId> acknowledged;          ///< results that the runner may drop
  std::map<TeamId, std::int64_t> inherited;  ///< tasks found running at the acquisition, per team
};

}  // namespace jaymast
