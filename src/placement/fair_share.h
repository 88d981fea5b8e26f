#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "base/id.h"
#include "base/resources.h"
#include "base/time.h"
#include "placement/preemption.h"

namespace jaymast {

/// Weighted dominant-resource fairness over decayed usage.
class FairShare {
 public:
  /// Usage of this long ago counts half. Shorter values forget a team's excess before it is made up for.
  static constexpr Duration kDefaultHalfLife = std::chrono::minutes(5);

  explicit FairShare(Duration half_life = kDefaultHalfLife);

  void SetWeight(const TeamId& team, std::int64_t share);
  void SetCapacity(const Resources& capacity);

  /// A task of the team began to use capacity.
  void AddUsage(const TeamId& team, const Resources& used, Time now);

  /// A task of the team stopped using capacity.
  void RemoveUsage(const TeamId& team, const Resources& used, Time now);

  /// Usage of all tasks of the team as the workers report it. Until the next report, the amounts given to Add and
  /// Remove are scaled by the ratio of this usage to their sum.
  void ReportUsage(const TeamId& team, const Resources& used, Time now);

  /// Dominant share of the team divided by its weight. The team with the lowest score is served next.
  ///
  /// The score is the decayed usage expected at the end of a short horizon if the present usage continues, so that a
  /// team that has just received capacity steps back at once.
  double Score(const TeamId& team, Time now) const;

  /// Sum of the amounts added less those removed.
  Resources Used(const TeamId& team) const;

  /// Entitled share of each team, by progressive filling: shares grow in proportion to the weights until the demand is
  /// met or a resource that the team needs is used up. Share that a team does not demand is lent to the others.
  /// @param demand running and waiting demand of each team
  /// Complexity: quadratic in the number of teams.
  std::map<TeamId, Entitlement> ComputeEntitlements(const std::map<TeamId, Resources>& demand) const;

  /// Chooses tasks to checkpoint on one upstream so that a waiting task of a team below its share fits there.
  ///
  /// Takes only tasks that can be checkpointed, of teams that stay at or above their share without them, the cheapest
  /// checkpoints first.
  /// @return the tasks, or none when the team is not entitled to the demand or the bound on victims does not suffice
  std::vector<AttemptId> ChooseVictims(const PreemptionRequest& request,
                                       const std::vector<PreemptionCandidate>& candidates) const;

  std::size_t MemoryBytes() const;

 private:
  using Amounts = std::array<double, 4>;

  struct Usage {
    double weight = 1.0;
    Resources declared;
    Amounts ratio{1, 1, 1, 1};  ///< reported over declared usage
    Amounts decayed{};          ///< at `updated`
    Time updated;
  };

  /// Choice of victims on one upstream.
  struct VictimSet {
    std::vector<const PreemptionCandidate*> victims;
    std::int64_t cost_ms = 0;
  };

  double WeightOf(const TeamId& team) const;
  Amounts Current(const Usage& usage) const;
  void Advance(Usage& usage, Time now) const;
  double DecayFactor(Duration elapsed) const;
  double Dominant(const Amounts& amounts) const;
  double DominantOf(const Resources& amounts) const;
  bool IsEntitled(const PreemptionRequest& request) const;
  VictimSet VictimsOn(const PreemptionRequest& request, const Resources& free,
                      const std::vector<const PreemptionCandidate*>& candidates) const;

  double m_half_life_us;
  Amounts m_inverse_capacity{};
  Resources m_capacity;
  std::unordered_map<TeamId, Usage> m_usage;
};

}  // namespace jaymast
