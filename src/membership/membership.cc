#include "membership/membership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/hash.h"
#include "core/table_client.h"

namespace jaymast {
namespace {

/// How long after a failed renewal the store counts as unreachable. An entry that was paused for longer must try to
/// renew again before it starts tasks.
constexpr Duration kStoreUnavailableWindow = std::chrono::seconds(3);

/// Delay for each better-ranked candidate, so that usually only one entry tries to expire a peer.
constexpr Duration kExpiryStagger = std::chrono::milliseconds(500);

/// Extra delay of entries in other failure domains, which cannot take over the upstreams.
constexpr Duration kOtherDomainDelay = std::chrono::seconds(2);

}  // namespace

EntryId PreferredEntry(const std::string& key, const std::vector<EntryId>& candidates) {
  EntryId best;
  double best_score = 0;
  for (const EntryId& candidate : candidates) {
    const double score = RendezvousScore(key, candidate.value(), 1.0);
    if (score <= best_score) continue;
    best = candidate;
    best_score = score;
  }
  return best;
}

Membership::Membership(Context& context, TableClient& table, Hooks hooks)
    : m_context(context),
      m_table(table),
      m_hooks(std::move(hooks)),
      m_lifecycle([this](EntryState state) { m_hooks.on_state(state); }) {}

void Membership::Start() { Renew(); }

bool Membership::IsLeaseValid() const { return m_record_version != 0 && m_context.Now() < m_lease_deadline; }

bool Membership::MayStart() const {
  if (m_record_version == 0) return false;
  const EntryState entry_state = state();
  if (entry_state != EntryState::kServing && entry_state != EntryState::kIsolated) return false;
  return IsLeaseValid() || m_context.Now() < m_store_unavailable_until;
}

void Membership::ScheduleRenewal() {
  // An early renewal replaces the timer, so that exactly one is active.
  m_context.After(m_context.settings.renew_interval, [this, timer = ++m_renewal_timer] {
    if (timer == m_renewal_timer) Renew();
  });
}

void Membership::Renew() {
  if (m_leaving) return;
  if (m_renewing) {
    m_renew_again = true;
    return;
  }
  m_renewing = true;
  ++m_renewal_timer;
  EntryRecord record;
  record.domain = m_context.settings.domain;
  record.peer_address = m_context.settings.peer_address;
  record.state = state();
  record.config_version = m_config_version;
  record.renewals = ++m_renewals;
  // The lease counts from the time of sending, so it ends before another entry may expire the record.
  const Time sent_at = m_context.Now();
  const std::string key = EntryKey(m_context.self);
  std::vector<Write> writes = {{key, Encode(record)}};
  if (m_record_version == 0) writes.push_back({HomeKey(m_context.self), ""});
  m_table.Commit(
      {{key, m_record_version}}, std::move(writes),
      [this, sent_at](CommitOutcome outcome, std::int64_t version) {
        m_renewing = false;
        if (outcome == CommitOutcome::kConflict && !m_leaving) return m_hooks.on_lease_lost();
        OnRenewed(sent_at, outcome == CommitOutcome::kCommitted, version);
      },
      [this] { OnRenewalFailed(); });
}

void Membership::OnRenewed(Time sent_at, bool committed, std::int64_t version) {
  if (committed) {
    m_record_version = version;
    if (m_home_version == 0) m_home_version = version;
    m_lease_deadline = sent_at + m_context.settings.lease_duration;
    m_store_unavailable_until = Time();
    Event event;
    event.kind = EventKind::kLeaseRenewed;
    event.config_version = m_config_version;
    m_context.effects.Emit(event);
    Handle(LifecycleEvent::kStoreAvailable);
  } else {
    OnRenewalFailed();
  }
  if (std::exchange(m_renew_again, false)) return Renew();
  ScheduleRenewal();
}

void Membership::OnRenewalFailed() {
  m_store_unavailable_until = m_context.Now() + kStoreUnavailableWindow;
  if (m_record_version != 0 && !IsLeaseValid()) Handle(LifecycleEvent::kStoreUnavailable);
}

bool Membership::OnRows(const std::string& prefix, const std::vector<Row>& rows) {
  const Time now = m_context.Now();
  const Time expires_at = now + m_context.settings.lease_duration + m_context.settings.drift_bound;
  bool changed = false;
  if (std::exchange(m_read_failed, false)) {
    for (auto& [id, peer] : m_peers) peer.expires_at = std::max(peer.expires_at, expires_at);
  }
  for (const Row& row : rows) {
    const EntryId id(row.key.substr(kEntryPrefix.size()));
    if (id == m_context.self) continue;
    const Result<EntryRecord> record = DecodeEntryRecord(row.value);
    if (!record) continue;
    const auto [it, inserted] = m_peers.try_emplace(id);
    Peer& peer = it->second;
    changed = changed || inserted || peer.record.state != record->state;
    if (inserted) m_context.effects.ConnectPeer(id, record->peer_address);
    if (peer.version >= row.version) continue;
    peer.version = row.version;
    peer.record = *record;
    peer.expires_at = expires_at;
  }
  return RemoveAbsentPeers(prefix, rows) || changed;
}

bool Membership::RemoveAbsentPeers(const std::string& prefix, const std::vector<Row>& rows) {
  std::set<std::string> present;
  for (const Row& row : rows) present.insert(row.key);
  bool removed = false;
  for (auto peer = m_peers.begin(); peer != m_peers.end();) {
    const std::string key = EntryKey(peer->first);
    if (!key.starts_with(prefix) || present.contains(key)) {
      ++peer;
      continue;
    }
    m_context.effects.DisconnectPeer(peer->first);
    peer = m_peers.erase(peer);
    removed = true;
  }
  return removed;
}

Duration Membership::ExpiryDelay(const EntryId& id, const Peer& peer) const {
  if (peer.record.domain != m_context.settings.domain) return kOtherDomainDelay;
  const double own_score = RendezvousScore(id.value(), m_context.self.value(), 1.0);
  Duration delay{0};
  for (const auto& [other, other_peer] : m_peers) {
    const bool is_better = other != id && other_peer.record.domain == peer.record.domain &&
                           other_peer.expires_at > m_context.Now() &&
                           RendezvousScore(id.value(), other.value(), 1.0) > own_score;
    if (is_better) delay += kExpiryStagger;
  }
  return std::min(delay, kOtherDomainDelay);
}

bool Membership::IsExpiryDue(const EntryId& id, const Peer& peer) const {
  const Time now = m_context.Now();
  return now >= peer.expires_at && now >= peer.expires_at + ExpiryDelay(id, peer);
}

void Membership::ExpirePeers() {
  if (!IsLeaseValid() || m_leaving || m_read_failed) return;
  for (auto& [id, peer] : m_peers) {
    if (peer.is_expiring || !IsExpiryDue(id, peer)) continue;
    peer.is_expiring = true;
    Expire(id, peer.version);
  }
}

void Membership::Expire(const EntryId& id, std::int64_t version) {
  // Only a member may adopt the tasks.
  m_table.Commit({{EntryKey(id), version}, MembershipCondition()},
                 {{EntryKey(id), std::nullopt}, {HomeKey(id), std::nullopt}, {AdoptKey(id), m_context.self.value()}},
                 [this, id](CommitOutcome outcome, std::int64_t /*version*/) {
                   const auto peer = m_peers.find(id);
                   if (peer != m_peers.end()) {
                     peer->second.is_expiring = false;
                     // If the record was renewed, the next read sets the time anew.
                     peer->second.expires_at = m_context.Now() + m_context.settings.lease_duration;
                   }
                   if (outcome != CommitOutcome::kCommitted) return;
                   Event event;
                   event.kind = EventKind::kEntryExpired;
                   event.other = id;
                   m_context.effects.Emit(event);
                   m_peers.erase(id);
                   m_context.effects.DisconnectPeer(id);
                   m_hooks.on_peer_expired();
                 });
}

void Membership::OnSummary(const EntryId& from, const Summary& summary) {
  const auto peer = m_peers.find(from);
  if (peer == m_peers.end()) return;
  peer->second.summary = summary;
  peer->second.heartbeat_valid_until = m_context.Now() + m_context.settings.peer_silence;
}

bool Membership::HasLeaseRecord(const EntryId& id) const { return id == m_context.self || m_peers.contains(id); }

bool Membership::HasRecentHeartbeat(const EntryId& id) const {
  if (id == m_context.self) return true;
  const auto peer = m_peers.find(id);
  return peer != m_peers.end() && peer->second.heartbeat_valid_until > m_context.Now();
}

std::vector<EntryId> Membership::OwnerCandidates() const {
  std::vector<EntryId> candidates;
  const auto can_own = [](EntryState entry_state) {
    return entry_state == EntryState::kRecovering || entry_state == EntryState::kServing ||
           entry_state == EntryState::kIsolated;
  };
  if (can_own(state()) && !m_leaving) candidates.push_back(m_context.self);
  for (const auto& [id, peer] : m_peers) {
    if (peer.record.domain == m_context.settings.domain && can_own(peer.record.state)) candidates.push_back(id);
  }
  return candidates;
}

Condition Membership::MembershipCondition() const { return {HomeKey(m_context.self), m_home_version}; }

EntryId Membership::Successor() const {
  EntryId best;
  double best_score = 0;
  for (const auto& [id, peer] : m_peers) {
    if (peer.record.state != EntryState::kServing || !HasRecentHeartbeat(id)) continue;
    // A peer of the own failure domain is almost always preferred.
    const double weight = peer.record.domain == m_context.settings.domain ? 1e6 : 1.0;
    const double score = RendezvousScore(m_context.self.value(), id.value(), weight);
    if (score <= best_score) continue;
    best = id;
    best_score = score;
  }
  return best;
}

void Membership::Leave(std::function<void()> done) {
  m_leaving = true;
  if (m_record_version == 0) return done();
  m_table.Commit({MembershipCondition()},
                 {{EntryKey(m_context.self), std::nullopt},
                  {HomeKey(m_context.self), std::nullopt},
                  {AdoptKey(m_context.self), Successor().value()}},
                 [done = std::move(done)](CommitOutcome /*outcome*/, std::int64_t /*version*/) { done(); });
}

}  // namespace jaymast
