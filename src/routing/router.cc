#include "routing/router.h"

#include <algorithm>

#include "configuration/config_store.h"
#include "core/peer_message.h"
#include "membership/membership.h"
#include "upstream/executor.h"

namespace jaymast {

Router::Router(Context& context, const ConfigStore& config, const Membership& membership, const Executor& executor)
    : m_context(context), m_config(config), m_membership(membership), m_executor(executor) {}

void Router::RemovePendingDemand(const EntryId& owner, const Resources& demand) {
  if (owner == m_context.self) m_pending_demand[owner] -= demand;
}

bool Router::IsUsable(const TaskSpec& spec, const EntryId& id, const Summary& summary, bool must_fit) const {
  if (!summary.serving || m_config.config().domains_out_of_service.contains(summary.domain)) return false;
  if (!spec.domain.empty() && spec.domain != summary.domain) return false;
  if (!must_fit) return true;
  const auto pending = m_pending_demand.find(id);
  const Resources free = pending == m_pending_demand.end() ? summary.free : summary.free - pending->second;
  return spec.demand.FitsIn(summary.largest_free) && spec.demand.FitsIn(free);
}

std::vector<EntryId> Router::Candidates(const TaskSpec& spec, const std::set<EntryId>& tried, bool must_fit,
                                        bool own_domain_only) const {
  std::vector<EntryId> candidates;
  const bool is_own_usable =
      !tried.contains(m_context.self) && IsUsable(spec, m_context.self, m_executor.MakeSummary(), must_fit);
  if (is_own_usable) candidates.push_back(m_context.self);
  for (const auto& [id, peer] : m_membership.peers()) {
    if (tried.contains(id) || !m_membership.HasRecentHeartbeat(id)) continue;
    if (own_domain_only && peer.summary.domain != m_context.settings.domain) continue;
    if (IsUsable(spec, id, peer.summary, must_fit)) candidates.push_back(id);
  }
  return candidates;
}

std::int64_t Router::FreeSlots(const EntryId& id) const {
  const auto pending = m_pending_demand.find(id);
  const std::int64_t pending_slots = pending == m_pending_demand.end() ? 0 : pending->second.slots;
  if (id == m_context.self) return m_executor.placer().Free().slots - pending_slots;
  const auto peer = m_membership.peers().find(id);
  return peer == m_membership.peers().end() ? 0 : peer->second.summary.free.slots - pending_slots;
}

std::optional<EntryId> Router::BetterOfTwo(const std::vector<EntryId>& candidates) {
  if (candidates.empty()) return std::nullopt;
  const EntryId& first = candidates[m_context.effects.Random() % candidates.size()];
  const EntryId& second = candidates[m_context.effects.Random() % candidates.size()];
  return FreeSlots(first) >= FreeSlots(second) ? first : second;
}

std::optional<EntryId> Router::ChooseForPreview(const TaskSpec& spec, const std::set<EntryId>& tried) {
  const bool fits_here =
      !tried.contains(m_context.self) && IsUsable(spec, m_context.self, m_executor.MakeSummary(), true);
  if (fits_here) return m_context.self;
  for (const bool own_domain_only : {true, false}) {
    std::optional<EntryId> fitting = BetterOfTwo(Candidates(spec, tried, true, own_domain_only));
    if (fitting) return fitting;
  }
  return ChooseAny(spec, tried);
}

std::optional<EntryId> Router::ChooseAny(const TaskSpec& spec, const std::set<EntryId>& tried) {
  std::optional<EntryId> untried = BetterOfTwo(Candidates(spec, tried, false, false));
  if (untried) return untried;
  return BetterOfTwo(Candidates(spec, {}, false, false));
}

std::optional<EntryId> Router::ChooseForDurable(const TaskSpec& spec, const std::set<EntryId>& tried) {
  std::optional<EntryId> fitting = BetterOfTwo(Candidates(spec, tried, true, false));
  if (fitting) return fitting;
  return ChooseAny(spec, tried);
}

}  // namespace jaymast
