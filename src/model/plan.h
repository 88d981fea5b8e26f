#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/resources.h"
#include "model/cluster_config.h"
#include "model/intent.h"

namespace jaymast {

/// The changes that a list of intents would make. They take effect when the plan is confirmed.
struct Plan {
  PlanId id;
  std::int64_t base_version = 0;  ///< configuration version that the plan is based on
  std::vector<Intent> intents;
  ClusterConfig target;                     ///< configuration after confirmation
  std::vector<std::string> starts;          ///< tasks that will start
  std::vector<std::string> moves;           ///< tasks that will be checkpointed and moved
  std::vector<std::string> stops;           ///< teams that run more tasks than the new limit; nothing is stopped
  std::vector<std::string> refusals;        ///< intents or tasks that will be refused, with the reason
  std::map<DomainId, Resources> capacity;   ///< usable capacity per failure domain after confirmation
  std::map<TeamId, std::int64_t> headroom;  ///< new limit minus running tasks known to the planner, per team
};

}  // namespace jaymast
