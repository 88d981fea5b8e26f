#pragma once

#include <optional>
#include <string_view>
#include <variant>

#include "model/task_spec.h"

namespace jaymast {

/// Prefers the upstream whose free capacity is best aligned with the demand. Default for batch and urgent work.
struct BestFitPolicy {};

/// Spreads the replicas of a service over failure domains, then over racks. Default for services.
struct SpreadPolicy {};

/// Chooses the least loaded upstream of the sample and may use the headroom. Default for previews.
struct HeadroomPolicy {};

/// Prefers upstreams that can hold several members of the gang. Default for gangs.
struct GangPolicy {};

/// Baseline: the first upstream in table order that fits.
struct FirstFitPolicy {};

/// Baseline: a random upstream that fits.
struct RandomPolicy {};

/// Baseline: first fit; the admission queue serves classes of work strictly in order.
struct StrictPriorityPolicy {};

using PlacementPolicy = std::variant<BestFitPolicy, SpreadPolicy, HeadroomPolicy, GangPolicy, FirstFitPolicy,
                                     RandomPolicy, StrictPriorityPolicy>;

/// Policy with the given name, or nothing if the name is unknown.
std::optional<PlacementPolicy> PolicyFromName(std::string_view name);

/// Policy of a class of work if the configuration names none.
PlacementPolicy DefaultPolicy(WorkClass work_class);

/// Whether the policy leaves the headroom to previews.
bool KeepsHeadroom(const PlacementPolicy& policy);

}  // namespace jaymast
