#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/result.h"
#include "model/cluster_config.h"
#include "model/instance_list.h"
#include "model/intent.h"
#include "model/plan.h"

namespace jaymast {

/// What the planner knows of the cluster besides the configuration.
struct PlannerFacts {
  InstanceList instances;
  std::map<TeamId, std::int64_t> running;                 ///< running tasks per team, as far as this entry knows
  std::map<UpstreamId, std::vector<std::string>> placed;  ///< ids of the tasks that run on an upstream
};

/// Works out what a list of intents changes. Changes nothing itself.
/// @return the plan without its id, or the first intent that makes no sense, with its path
Result<Plan> MakePlan(const ClusterConfig& config, const std::vector<Intent>& intents, const PlannerFacts& facts);

/// Checks whether any listed upstream could ever hold a demand.
/// @return nothing, or kDemandImpossible with the binding constraint
std::optional<Error> CheckDemand(const Resources& demand, const DomainId& domain, const InstanceList& instances);

}  // namespace jaymast
