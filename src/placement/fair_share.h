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

/// Computes weighted dominant-resource fairness over exponentially decayed usage.
class FairShare {
 public:
  /// With a shorter half-life a team's excess usage decays before other teams have caught up.
  static constexpr Duration kDefaultHalfLife = std::chrono::minutes(5);

  explicit FairShare(Duration half_life = kDefaultHalfLife);

  void SetWeight(const TeamId& team, std::int64_t share);
  void SetCapacity(const Resources& capacity);

  /// Records that a task of the team started to use capacity.
  void AddUsage(const TeamId& team, const Resources& used, Time now);

  /// Records that a task of the team stopped using capacity.
  void RemoveUsage(const TeamId& team, const Resources& used, Time now);

  /// Records the usage of all tasks of the team as reported by the upstreams. Until the next report, the amounts given
  /// to AddUsage and RemoveUsage are scaled by the ratio of reported usage to their sum.
  void ReportUsage(const TeamId& team, const Resources& used, Time now);

  /// Dominant share of the team divided by its weight. The team with the lowest score is served next.
  ///
  /// The share is the decayed usage projected to the end of a short horizon at the current usage, so that newly
  /// allocated capacity affects the score at once.
  double Score(const TeamId& team, Time now) const;

  /// Sum of the amounts added minus those removed.
  Resources Used(const TeamId& team) const;

  /// Computes the entitled share of each team by progressive filling: shares grow in proportion to the weights until
  /// the demand is met or a resource that the team needs is exhausted. Unused share is distributed to the other teams.
  /// @param demand running and waiting demand of each team
  /// Complexity: quadratic in the number of teams.
  std::map<TeamId, Entitlement> ComputeEntitlements(const std::map<TeamId, Resources>& demand) const;

  /// Chooses tasks to checkpoint on one upstream so that a waiting task of a team below its share fits there.
  ///
  /// Victims can be checkpointed, and their teams stay at or above their share without them. Cheapest checkpoints are
  /// chosen first.
  /// @return the victims, or none if the team is not entitled to the demand or it would take more than `max_victims`
  std::vector<AttemptId> ChooseVictims(const PreemptionRequest& request,
                                       const std::vector<PreemptionCandidate>& candidates) const;

  std::size_t MemoryBytes() const;

 private:
  using Amounts = std::array<double, 4>;  ///< in the order of the fields of Resources

  struct Usage {
    double weight = 1.0;
    Resources declared;
    Amounts ratio{1, 1, 1, 1};  ///< reported usage divided by declared usage
    Amounts decayed{};          ///< at `updated`
    Time updated;
  };

  /// Victims on one upstream.
  struct VictimSet {
    std::vector<const PreemptionCandidate*> victims;
    std::int64_t cost_ms = 0;
  };

  double WeightOf(const TeamId& team) const;
  Amounts CurrentUsage(const Usage& usage) const;
  void DecayTo(Usage& usage, Time now) const;
  double DecayFactor(Duration elapsed) const;
  double DominantShare(const Amounts& amounts) const;
  double DominantShareOf(const Resources& amounts) const;
  bool IsEntitled(const PreemptionRequest& request) const;
  VictimSet ChooseVictimsOn(const PreemptionRequest& request, const Resources& free,
                            const std::vector<const PreemptionCandidate*>& candidates) const;

  double m_half_life_us;
  Amounts m_inverse_capacity{};
  Resources m_capacity;
  std::unordered_map<TeamId, Usage> m_usage;
};

}  // namespace jaymast
