#include "placement/fair_share.h"

#include <algorithm>
#include <cmath>

#include "placement/progressive_filling.h"

namespace jaymast {
namespace {

/// Time over which the score projects the current usage. A longer horizon weights past usage less.
constexpr Duration kScoreHorizon = std::chrono::seconds(60);

/// Weight of a team with share 0, which is served after all others.
constexpr double kMinWeight = 1e-6;

std::array<double, 4> ToAmounts(const Resources& resources) {
  return {static_cast<double>(resources.cpu_millis), static_cast<double>(resources.memory_mb),
          static_cast<double>(resources.accelerators), static_cast<double>(resources.slots)};
}

}  // namespace

FairShare::FairShare(Duration half_life) : m_half_life_us(static_cast<double>(half_life.count())) {}

void FairShare::SetWeight(const TeamId& team, std::int64_t share) {
  m_usage[team].weight = std::max(static_cast<double>(share), kMinWeight);
}

void FairShare::SetCapacity(const Resources& capacity) {
  m_capacity = capacity;
  const Amounts amounts = ToAmounts(capacity);
  for (std::size_t i = 0; i < amounts.size(); ++i) m_inverse_capacity[i] = amounts[i] > 0 ? 1.0 / amounts[i] : 0.0;
}

void FairShare::AddUsage(const TeamId& team, const Resources& used, Time now) {
  Usage& usage = m_usage[team];
  DecayTo(usage, now);
  usage.declared += used;
}

void FairShare::RemoveUsage(const TeamId& team, const Resources& used, Time now) {
  Usage& usage = m_usage[team];
  DecayTo(usage, now);
  usage.declared -= used;
}

void FairShare::ReportUsage(const TeamId& team, const Resources& used, Time now) {
  Usage& usage = m_usage[team];
  DecayTo(usage, now);
  const Amounts reported = ToAmounts(used);
  const Amounts declared = ToAmounts(usage.declared);
  for (std::size_t i = 0; i < reported.size(); ++i) {
    if (declared[i] > 0) usage.ratio[i] = reported[i] / declared[i];
  }
}

double FairShare::Score(const TeamId& team, Time now) const {
  const auto known = m_usage.find(team);
  if (known == m_usage.end()) return 0.0;
  const Usage& usage = known->second;
  const Amounts current = CurrentUsage(usage);
  const double decay = DecayFactor(now - usage.updated + kScoreHorizon);
  Amounts expected{};
  for (std::size_t i = 0; i < expected.size(); ++i) expected[i] = usage.decayed[i] * decay + current[i] * (1.0 - decay);
  return DominantShare(expected) / usage.weight;
}

Resources FairShare::Used(const TeamId& team) const {
  const auto known = m_usage.find(team);
  return known == m_usage.end() ? Resources{} : known->second.declared;
}

std::map<TeamId, Entitlement> FairShare::ComputeEntitlements(const std::map<TeamId, Resources>& demand) const {
  std::vector<ProgressiveFilling::Participant> participants;
  participants.reserve(demand.size());
  for (const auto& [team, wanted] : demand) participants.push_back({WeightOf(team), ToAmounts(wanted)});
  const std::vector<double> shares = ProgressiveFilling(ToAmounts(m_capacity)).Fill(participants);
  std::map<TeamId, Entitlement> entitled;
  std::size_t index = 0;
  for (const auto& [team, wanted] : demand) {
    const double dominant = DominantShareOf(wanted);
    const double part = dominant > 0 ? std::min(shares[index] / dominant, 1.0) : 0.0;
    const auto scaled = [part](std::int64_t amount) {
      return static_cast<std::int64_t>(std::floor(static_cast<double>(amount) * part));
    };
    entitled[team] = {
        shares[index],
        {scaled(wanted.cpu_millis), scaled(wanted.memory_mb), scaled(wanted.accelerators), scaled(wanted.slots)}};
    ++index;
  }
  return entitled;
}

std::size_t FairShare::MemoryBytes() const {
  constexpr std::size_t kHashNodeBytes = 24;
  return sizeof(*this) + m_usage.size() * (sizeof(TeamId) + sizeof(Usage) + kHashNodeBytes);
}

double FairShare::WeightOf(const TeamId& team) const {
  const auto known = m_usage.find(team);
  return known == m_usage.end() ? 1.0 : known->second.weight;
}

FairShare::Amounts FairShare::CurrentUsage(const Usage& usage) const {
  Amounts current = ToAmounts(usage.declared);
  for (std::size_t i = 0; i < current.size(); ++i) current[i] *= usage.ratio[i];
  return current;
}

void FairShare::DecayTo(Usage& usage, Time now) const {
  if (now <= usage.updated) return;
  const double decay = DecayFactor(now - usage.updated);
  const Amounts current = CurrentUsage(usage);
  for (std::size_t i = 0; i < current.size(); ++i) {
    usage.decayed[i] = usage.decayed[i] * decay + current[i] * (1.0 - decay);
  }
  usage.updated = now;
}

double FairShare::DecayFactor(Duration elapsed) const {
  return std::exp2(-static_cast<double>(elapsed.count()) / m_half_life_us);
}

double FairShare::DominantShare(const Amounts& amounts) const {
  double dominant = 0;
  for (std::size_t i = 0; i < amounts.size(); ++i) dominant = std::max(dominant, amounts[i] * m_inverse_capacity[i]);
  return dominant;
}

double FairShare::DominantShareOf(const Resources& amounts) const { return DominantShare(ToAmounts(amounts)); }

}  // namespace jaymast
