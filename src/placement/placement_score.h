#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

#include "base/error.h"
#include "base/resources.h"
#include "model/task_spec.h"
#include "placement/placement_policy.h"
#include "placement/replica_counts.h"
#include "placement/upstream_table.h"

namespace jaymast {

/// Scores an upstream that fits a task, as a visitor of the policy. The highest score wins.
struct PlacementScore {
  const TaskSpec& spec;
  const UpstreamTable::Row& row;
  const Resources& free;
  const ReplicaCounts& replica_counts;
  std::mt19937_64& random;

  double operator()(const BestFitPolicy& policy) const;
  double operator()(const SpreadPolicy& policy) const;
  double operator()(const HeadroomPolicy& policy) const;
  double operator()(const GangPolicy& policy) const;
  double operator()(const FirstFitPolicy& policy) const;
  double operator()(const RandomPolicy& policy) const;
  double operator()(const StrictPriorityPolicy& policy) const;
};

/// Maximum number of upstreams scored for one decision.
std::size_t SampleLimit(const PlacementPolicy& policy);

/// Whether the search starts at a random group. Packing policies start at the first group, to keep later groups free
/// for large tasks.
bool StartsAtRandomGroup(const PlacementPolicy& policy);

/// The amounts with negative ones set to 0.
Resources ClampToZero(const Resources& amount);

/// Number of tasks of the demand that fit into free capacity, at most `most`.
std::int64_t CountFitting(const Resources& free, const Resources& demand, std::int64_t most);

/// Error that names the resource for which a demand fits into none of the given capacities.
/// @param capacities capacities of upstreams, not empty
Error BindingConstraint(const Resources& demand, const std::vector<Resources>& capacities);

}  // namespace jaymast
