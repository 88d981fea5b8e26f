#include "placement/placement_score.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jaymast {
namespace {

constexpr std::size_t kKinds = UpstreamTable::kResourceKinds;

/// Upstreams scored for one decision by most policies.
constexpr std::size_t kDefaultSampleSize = 16;

/// Upstreams scored for a replica of a service. A sample of 16 covers only two racks of eight.
constexpr std::size_t kSpreadSampleSize = 32;

/// Upstreams scored for a preview, which needs a lightly loaded upstream but not the best one.
constexpr std::size_t kPreviewSampleSize = 8;

/// Keeps tasks without accelerators off upstreams with accelerators while others have free capacity.
constexpr double kAcceleratorPenalty = 1.0;

/// Penalty for each replica in the rack. Outweighs any alignment, which is at most 1.
constexpr double kRackWeight = 4.0;

constexpr std::array<std::string_view, kKinds> kDemandPaths = {"/demand/cpu_millis", "/demand/memory_mb",
                                                               "/demand/accelerators", "/demand/slots"};

std::array<std::int64_t, kKinds> Amounts(const Resources& resources) {
  return {resources.cpu_millis, resources.memory_mb, resources.accelerators, resources.slots};
}

/// Squared cosine of demand and free capacity, minus the mean fraction of the upstream that stays free.
double Alignment(const UpstreamTable::Row& row, const Resources& free, const Resources& demand) {
  const auto free_amounts = Amounts(free);
  const auto demand_amounts = Amounts(demand);
  double dot = 0;
  double free_square = 0;
  double demand_square = 0;
  double left = 0;
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    const double f = static_cast<double>(free_amounts[kind]) * row.inverse[kind];
    const double d = static_cast<double>(demand_amounts[kind]) * row.inverse[kind];
    dot += f * d;
    free_square += f * f;
    demand_square += d * d;
    left += f - d;
  }
  const double scale = free_square * demand_square;
  const double cosine_square = scale > 0 ? dot * dot / scale : 0.0;
  const bool wastes_accelerators = demand.accelerators == 0 && free.accelerators > 0;
  return cosine_square - left / kKinds - (wastes_accelerators ? kAcceleratorPenalty : 0.0);
}

std::int64_t MaxAmount(std::size_t kind, const std::vector<Resources>& capacities) {
  std::int64_t most = 0;
  for (const Resources& capacity : capacities) most = std::max(most, Amounts(capacity)[kind]);
  return most;
}

/// The resource whose demand exceeds the largest capacity by the largest factor, if any.
std::optional<std::size_t> LargestExcess(const Resources& demand, const std::vector<Resources>& capacities) {
  const auto wanted = Amounts(demand);
  std::optional<std::size_t> binding;
  double worst = 1;
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    const auto most = static_cast<double>(MaxAmount(kind, capacities));
    const double excess = static_cast<double>(wanted[kind]) / std::max(most, 0.5);
    if (excess <= worst) continue;
    worst = excess;
    binding = kind;
  }
  return binding;
}

bool HoldsAllBut(std::size_t kind, const Resources& demand, const Resources& capacity) {
  const auto wanted = Amounts(demand);
  const auto offered = Amounts(capacity);
  for (std::size_t other = 0; other < kKinds; ++other) {
    if (other != kind && wanted[other] > offered[other]) return false;
  }
  return true;
}

Error ImpossibleDemandError(std::size_t kind, std::int64_t most) {
  return {ErrorId::kDemandImpossible, std::string(kDemandPaths.at(kind)),
          fmt::format("upstreams that could hold the rest of the demand have at most {}", most)};
}

}  // namespace

double PlacementScore::operator()(const BestFitPolicy& /*policy*/) const { return Alignment(row, free, spec.demand); }

double PlacementScore::operator()(const SpreadPolicy& /*policy*/) const {
  const std::int32_t replicas = replica_counts.InRack(ReplicaCounts::KeyOf(spec), row.rack);
  return Alignment(row, free, spec.demand) - kRackWeight * static_cast<double>(replicas);
}

double PlacementScore::operator()(const HeadroomPolicy& /*policy*/) const {
  const double slots = static_cast<double>(free.slots) * row.inverse[3];
  const double processors = static_cast<double>(free.cpu_millis) * row.inverse[0];
  return std::min(slots, processors);
}

double PlacementScore::operator()(const GangPolicy& /*policy*/) const {
  const std::int64_t copies = CountFitting(free, spec.demand, std::max<std::int64_t>(spec.gang_size, 1));
  return static_cast<double>(copies) + Alignment(row, free, spec.demand);
}

double PlacementScore::operator()(const FirstFitPolicy& /*policy*/) const { return 0; }

double PlacementScore::operator()(const RandomPolicy& /*policy*/) const { return static_cast<double>(random()); }

double PlacementScore::operator()(const StrictPriorityPolicy& /*policy*/) const { return 0; }

std::size_t SampleLimit(const PlacementPolicy& policy) {
  struct Visitor {
    std::size_t operator()(const BestFitPolicy&) const { return kDefaultSampleSize; }
    std::size_t operator()(const SpreadPolicy&) const { return kSpreadSampleSize; }
    std::size_t operator()(const HeadroomPolicy&) const { return kPreviewSampleSize; }
    std::size_t operator()(const GangPolicy&) const { return kDefaultSampleSize; }
    std::size_t operator()(const FirstFitPolicy&) const { return 1; }
    std::size_t operator()(const RandomPolicy&) const { return kDefaultSampleSize; }
    std::size_t operator()(const StrictPriorityPolicy&) const { return 1; }
  };
  return std::visit(Visitor{}, policy);
}

bool StartsAtRandomGroup(const PlacementPolicy& policy) {
  return std::holds_alternative<HeadroomPolicy>(policy) || std::holds_alternative<RandomPolicy>(policy) ||
         std::holds_alternative<SpreadPolicy>(policy);
}

Resources ClampToZero(const Resources& amount) {
  return {std::max<std::int64_t>(amount.cpu_millis, 0), std::max<std::int64_t>(amount.memory_mb, 0),
          std::max<std::int64_t>(amount.accelerators, 0), std::max<std::int64_t>(amount.slots, 0)};
}

std::int64_t CountFitting(const Resources& free, const Resources& demand, std::int64_t most) {
  const auto free_amounts = Amounts(free);
  const auto demand_amounts = Amounts(demand);
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    if (demand_amounts[kind] > 0) most = std::min(most, free_amounts[kind] / demand_amounts[kind]);
  }
  return most;
}

Error BindingConstraint(const Resources& demand, const std::vector<Resources>& capacities) {
  const std::optional<std::size_t> largest_excess = LargestExcess(demand, capacities);
  if (largest_excess) return ImpossibleDemandError(*largest_excess, MaxAmount(*largest_excess, capacities));
  // Each amount fits somewhere. Finds a resource such that an upstream holds the rest of the demand.
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    std::vector<Resources> holding_rest;
    for (const Resources& capacity : capacities) {
      if (HoldsAllBut(kind, demand, capacity)) holding_rest.push_back(capacity);
    }
    if (!holding_rest.empty()) return ImpossibleDemandError(kind, MaxAmount(kind, holding_rest));
  }
  return {ErrorId::kDemandImpossible, "/demand", "no upstream has this combination of resources"};
}

}  // namespace jaymast
