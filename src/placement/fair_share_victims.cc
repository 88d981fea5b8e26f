#include <algorithm>
#include <map>
#include <utility>

#include "placement/fair_share.h"

namespace jaymast {
namespace {

/// Rounding tolerance for shares, which are sums of floating-point steps.
constexpr double kTolerance = 1e-9;

double EntitledShareOf(const PreemptionRequest& request, const TeamId& team) {
  const auto entitled = request.entitled.find(team);
  return entitled == request.entitled.end() ? 0.0 : entitled->second.dominant_share;
}

/// Removes victims that are not needed for the demand to fit, the most expensive first.
void DropUnneeded(std::vector<const PreemptionCandidate*>& victims, Resources free, const Resources& demand) {
  for (std::size_t i = victims.size(); i > 0; --i) {
    const Resources without = free - victims[i - 1]->used;
    if (!demand.FitsIn(without)) continue;
    free = without;
    victims.erase(victims.begin() + static_cast<std::ptrdiff_t>(i - 1));
  }
}

}  // namespace

std::vector<AttemptId> FairShare::ChooseVictims(const PreemptionRequest& request,
                                                const std::vector<PreemptionCandidate>& candidates) const {
  if (!IsEntitled(request)) return {};
  std::map<UpstreamId, std::vector<const PreemptionCandidate*>> by_upstream;
  for (const PreemptionCandidate& candidate : candidates) {
    if (candidate.can_checkpoint && candidate.team != request.team) {
      by_upstream[candidate.upstream].push_back(&candidate);
    }
  }
  VictimSet best;
  for (auto& [upstream, local] : by_upstream) {
    const auto free = request.free.find(upstream);
    if (free == request.free.end()) continue;
    std::stable_sort(local.begin(), local.end(), [](const PreemptionCandidate* a, const PreemptionCandidate* b) {
      return a->checkpoint_ms < b->checkpoint_ms;
    });
    VictimSet found = ChooseVictimsOn(request, free->second, local);
    if (found.victims.empty()) continue;
    if (best.victims.empty() || found.cost_ms < best.cost_ms) best = std::move(found);
  }
  std::vector<AttemptId> ids;
  ids.reserve(best.victims.size());
  for (const PreemptionCandidate* victim : best.victims) ids.push_back(victim->id);
  return ids;
}

bool FairShare::IsEntitled(const PreemptionRequest& request) const {
  const double wanted = DominantShareOf(Used(request.team) + request.demand);
  return wanted <= EntitledShareOf(request, request.team) + kTolerance;
}

FairShare::VictimSet FairShare::ChooseVictimsOn(const PreemptionRequest& request, const Resources& free,
                                                const std::vector<const PreemptionCandidate*>& candidates) const {
  VictimSet set;
  Resources freed = free;
  std::map<TeamId, Resources> used;
  for (const PreemptionCandidate* candidate : candidates) {
    if (request.demand.FitsIn(freed)) break;
    Resources& team_used = used.try_emplace(candidate->team, Used(candidate->team)).first->second;
    const Resources without = team_used - candidate->used;
    if (DominantShareOf(without) + kTolerance < EntitledShareOf(request, candidate->team)) continue;
    team_used = without;
    freed += candidate->used;
    set.victims.push_back(candidate);
  }
  if (!request.demand.FitsIn(freed)) return {};
  DropUnneeded(set.victims, freed, request.demand);
  if (set.victims.size() > request.max_victims) return {};
  for (const PreemptionCandidate* victim : set.victims) set.cost_ms += victim->checkpoint_ms;
  return set;
}

}  // namespace jaymast
