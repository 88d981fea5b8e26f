#include "placement/placement_policy.h"

#include <array>
#include <utility>

namespace jaymast {
namespace {

using NamedPolicy = std::pair<std::string_view, PlacementPolicy>;

constexpr std::array<NamedPolicy, 7> kPolicies = {{
    {"best-fit", BestFitPolicy{}},
    {"spread", SpreadPolicy{}},
    {"headroom", HeadroomPolicy{}},
    {"gang", GangPolicy{}},
    {"first-fit", FirstFitPolicy{}},
    {"random", RandomPolicy{}},
    {"strict-priority", StrictPriorityPolicy{}},
}};

struct HeadroomVisitor {
  bool operator()(const BestFitPolicy&) const { return true; }
  bool operator()(const SpreadPolicy&) const { return true; }
  bool operator()(const HeadroomPolicy&) const { return false; }
  bool operator()(const GangPolicy&) const { return true; }
  bool operator()(const FirstFitPolicy&) const { return false; }
  bool operator()(const RandomPolicy&) const { return false; }
  bool operator()(const StrictPriorityPolicy&) const { return false; }
};

}  // namespace

std::optional<PlacementPolicy> PolicyFromName(std::string_view name) {
  for (const auto& [known, policy] : kPolicies) {
    if (known == name) return policy;
  }
  return std::nullopt;
}

PlacementPolicy DefaultPolicy(WorkClass work_class) {
  switch (work_class) {
    case WorkClass::kPreview:
      return HeadroomPolicy{};
    case WorkClass::kService:
      return SpreadPolicy{};
    case WorkClass::kGang:
      return GangPolicy{};
    case WorkClass::kUrgent:
    case WorkClass::kBatch:
      break;
  }
  return BestFitPolicy{};
}

bool KeepsHeadroom(const PlacementPolicy& policy) { return std::visit(HeadroomVisitor{}, policy); }

}  // namespace jaymast
