#include "placement/progressive_filling.h"

#include <algorithm>
#include <limits>

namespace jaymast {
namespace {

/// Fractions of capacity below this are rounding errors.
constexpr double kTolerance = 1e-12;

}  // namespace

ProgressiveFilling::ProgressiveFilling(const Amounts& capacity) : m_capacity(capacity) {}

std::vector<double> ProgressiveFilling::Fill(const std::vector<Participant>& participants) const {
  std::vector<Team> teams;
  teams.reserve(participants.size());
  for (const Participant& participant : participants) teams.push_back(Normalise(participant));
  Amounts remaining{1, 1, 1, 1};
  // Each step satisfies a team or exhausts a resource.
  for (std::size_t step = 0; step < teams.size() + remaining.size(); ++step) {
    const Amounts rates = ComputeRates(teams);
    const double growth = NextStep(teams, rates, remaining);
    if (growth == std::numeric_limits<double>::infinity()) break;
    for (std::size_t i = 0; i < remaining.size(); ++i) remaining[i] -= rates[i] * growth;
    for (Team& team : teams) team.share += team.active ? team.weight * growth : 0.0;
    Freeze(teams, remaining);
  }
  std::vector<double> shares;
  shares.reserve(teams.size());
  for (const Team& team : teams) shares.push_back(team.share);
  return shares;
}

ProgressiveFilling::Team ProgressiveFilling::Normalise(const Participant& participant) const {
  Team team;
  team.weight = participant.weight;
  Amounts parts{};
  bool possible = true;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    if (participant.demand[i] <= 0) continue;
    possible = possible && m_capacity[i] > 0;
    parts[i] = m_capacity[i] > 0 ? participant.demand[i] / m_capacity[i] : 0.0;
    team.wanted_share = std::max(team.wanted_share, parts[i]);
  }
  team.active = possible && team.wanted_share > 0;
  if (!team.active) return team;
  for (std::size_t i = 0; i < parts.size(); ++i) team.per_unit_share[i] = parts[i] / team.wanted_share;
  return team;
}

ProgressiveFilling::Amounts ProgressiveFilling::ComputeRates(const std::vector<Team>& teams) {
  Amounts rates{};
  for (const Team& team : teams) {
    if (!team.active) continue;
    for (std::size_t i = 0; i < rates.size(); ++i) rates[i] += team.weight * team.per_unit_share[i];
  }
  return rates;
}

double ProgressiveFilling::NextStep(const std::vector<Team>& teams, const Amounts& rates, const Amounts& remaining) {
  double step = std::numeric_limits<double>::infinity();
  for (const Team& team : teams) {
    if (team.active) step = std::min(step, (team.wanted_share - team.share) / team.weight);
  }
  for (std::size_t i = 0; i < rates.size(); ++i) {
    if (rates[i] > 0) step = std::min(step, std::max(remaining[i], 0.0) / rates[i]);
  }
  return step;
}

void ProgressiveFilling::Freeze(std::vector<Team>& teams, const Amounts& remaining) {
  for (Team& team : teams) {
    if (team.wanted_share - team.share <= kTolerance) team.active = false;
    for (std::size_t i = 0; i < remaining.size(); ++i) {
      if (remaining[i] <= kTolerance && team.per_unit_share[i] > 0) team.active = false;
    }
  }
}

}  // namespace jaymast
