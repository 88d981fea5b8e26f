#pragma once

#include <array>
#include <cstddef>
#include <vector>

namespace jaymast {

/// Progressive filling of dominant shares, which yields the weighted dominant-resource fair allocation of divisible
/// demands.
class ProgressiveFilling {
 public:
  using Amounts = std::array<double, 4>;

  /// Demand of one team and the weight of its share.
  struct Participant {
    double weight = 1;
    Amounts demand{};
  };

  explicit ProgressiveFilling(const Amounts& capacity);

  /// @return dominant share of each claim, in the order of the claims
  std::vector<double> Fill(const std::vector<Participant>& participants) const;

 private:
  struct Team {
    double weight = 1;
    double wanted_share = 0;   ///< dominant share of the whole demand
    double share = 0;          ///< dominant share so far
    Amounts per_unit_share{};  ///< part of each resource used for each unit of dominant share
    bool active = false;
  };

  Team Normalise(const Participant& participant) const;
  static Amounts ComputeRates(const std::vector<Team>& teams);
  static double NextStep(const std::vector<Team>& teams, const Amounts& rates, const Amounts& remaining);
  static void Freeze(std::vector<Team>& teams, const Amounts& remaining);

  Amounts m_capacity;
};

}  // namespace jaymast
