#pragma once

#include <array>
#include <set>
#include <string_view>
#include <vector>

#include "base/enum_names.h"
#include "base/result.h"

namespace jaymast {

/// Mechanisms of the cell that can be switched off, to compare deployments with and without them or to work around a
/// fault.
enum class CellFeature {
  kLearnedRunTimes,   ///< orders steps and sets objectives by learned run times, which admission uses in any case
  kUpstreamSpeeds,    ///< places tasks by the learned speeds of upstreams
  kPolicyPlanning,    ///< gives out policy calls by what they cost and how many tasks can start
  kAdmissionByCause,  ///< counts only work that waits for capacity as a queue before a new job
};

template <>
struct EnumNames<CellFeature> {
  static constexpr std::array<std::string_view, 4> kNames = {"learned_run_times", "upstream_speeds", "policy_planning",
                                                             "admission_by_cause"};
};

/// The features that are off by default did not serve callers better on deployments with upstreams of equal speed.
struct CellOptions {
  std::set<CellFeature> disabled = {CellFeature::kLearnedRunTimes, CellFeature::kPolicyPlanning};

  static CellOptions AllOn() { return CellOptions{std::set<CellFeature>{}}; }
  bool IsOn(CellFeature feature) const { return !disabled.contains(feature); }
};

/// Parses pairs of arguments: --enable or --disable, and names of features separated by commas. Later ones win.
/// @return the options, or an error that names the unknown argument or feature and lists the known ones
Result<CellOptions> ParseCellOptions(const std::vector<std::string_view>& arguments);

}  // namespace jaymast
