#pragma once

#include <array>
#include <cstddef>
#include <vector>

namespace jaymast {

/// Computes the weighted dominant-resource fair allocation of divisible demands by progressive filling.
class ProgressiveFilling {
 public:
  using Amounts = std::array<double, 4>;  ///< in the order of the fields of Resources

  /// Demand and weight of one team.
  struct Participant {
    double weight = 1;
    Amounts demand{};
  };

  explicit ProgressiveFilling(const Amounts& capacity);

  /// @return dominant share of each participant, in the same order
  std::vector<double> Fill(const std::vector<Participant>& participants) const;

 private:
  struct Team {
    double weight = 1;
    double wanted_share = 0;   ///< dominant share of the full demand
    double share = 0;          ///< dominant share so far
    Amounts per_unit_share{};  ///< fraction of each resource per unit of dominant share
    bool active = false;
  };

  Team Normalise(const Participant& participant) const;
  /// Fraction of each resource that the active teams take per unit of growth. Shares grow by growth times weight.
  static Amounts ComputeRates(const std::vector<Team>& teams);
  /// Growth until the first team is satisfied or the first resource is exhausted.
  static double NextStep(const std::vector<Team>& teams, const Amounts& rates, const Amounts& remaining);
  /// Deactivates teams that are satisfied or need an exhausted resource.
  static void Freeze(std::vector<Team>& teams, const Amounts& remaining);

  Amounts m_capacity;
};

}  // namespace jaymast
