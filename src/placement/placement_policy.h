#pragma once

#include <optional>
#include <string_view>
#include <variant>

#include "model/task_spec.h"

namespace jaymast {

/// Packs by the alignment of the demand with the free capacity of a worker. Default for batch and urgent work.
struct BestFitPolicy {};

/// Spreads the replicas of a service over failure domains, then over racks. Default for services.
struct SpreadPolicy {};

/// Takes the least loaded worker of the sample and may use the reserved slots. Default for previews.
struct HeadroomPolicy {};

/// Prefers workers that hold several members of the gang. Default for gangs.
struct GangPolicy {};

/// Baseline: the first worker in table order that fits.
struct FirstFitPolicy {};

/// Baseline: a random worker that fits.
struct RandomPolicy {};

/// Baseline: first fit; the admission queue serves classes of work strictly in order.
struct StrictPriorityPolicy {};

using PlacementPolicy = std::variant<BestFitPolicy, SpreadPolicy, HeadroomPolicy, GangPolicy, FirstFitPolicy,
                                     RandomPolicy, StrictPriorityPolicy>;

/// Policy with the given name, or nothing when the name is unknown.
std::optional<PlacementPolicy> PolicyFromName(std::string_view name);

/// Policy of a class of work for which the configuration names none.
PlacementPolicy DefaultPolicy(WorkClass work_class);

/// Whether work under the policy leaves the slots reserved for previews free.
bool KeepsHeadroom(const PlacementPolicy& policy);

}  // namespace jaymast
