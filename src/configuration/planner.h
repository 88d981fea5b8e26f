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

/// State of the cluster that a plan depends on besides the configuration.
struct PlannerFacts {
  InstanceList instances;
  std::map<TeamId, std::int64_t> running;                 ///< running tasks per team that this entry counts
  std::map<UpstreamId, std::vector<std::string>> placed;  ///< ids of the tasks on each upstream of this entry
};

/// Computes the changes that a list of intents makes, without side effects.
/// @return the plan without its id, or the error of the first invalid intent, with its path
Result<Plan> MakePlan(const ClusterConfig& config, const std::vector<Intent>& intents, const PlannerFacts& facts);

/// Checks whether a demand fits on at least one listed upstream when nothing else runs there. Every demand passes while
/// no upstream is listed.
/// @param domain the only failure domain to consider, or empty for all
/// @return no value, or kDemandImpossible with the resource of which no upstream has enough
std::optional<Error> CheckDemand(const Resources& demand, const DomainId& domain, const InstanceList& instances);

}  // namespace jaymast
