#include "ownership/ownership.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "core/table_client.h"
#include "membership/membership.h"

namespace jaymast {
namespace {

constexpr Duration kRetryInterval = std::chrono::milliseconds(500);

/// How long a better-ranked entry must stay a candidate before a handover, so that a short restart moves nothing.
constexpr Duration kHandoverDelay = std::chrono::seconds(2);

/// How long an upstream that left the list is kept, because the list lags.
constexpr Duration kUnlistedRetention = std::chrono::seconds(30);

}  // namespace

Ownership::Ownership(Context& context, TableClient& table, Membership& membership, Hooks hooks)
    : m_context(context), m_table(table), m_membership(membership), m_hooks(std::move(hooks)) {}

void Ownership::OnInstances(const InstanceList& list) {
  const Time now = m_context.Now();
  for (auto& [id, upstream] : m_upstreams) upstream.is_listed = false;
  for (const UpstreamInfo& info : list.upstreams) {
    if (info.domain != m_context.settings.domain) continue;
    Upstream& upstream = m_upstreams[info.id];
    upstream.info = info;
    upstream.is_listed = true;
    upstream.remove_at = now + kUnlistedRetention;
  }
  Reconcile();
}

void Ownership::OnRows(const std::vector<Row>& rows) {
  m_rows_read = true;
  const std::string prefix = OwnerPrefix(m_context.settings.domain);
  for (const Row& row : rows) {
    const UpstreamId id(row.key.substr(prefix.size()));
    Upstream& upstream = m_upstreams[id];
    if (row.version <= upstream.row_version) continue;
    const Result<OwnerRecord> record = DecodeOwnerRecord(row.value);
    if (!record) continue;
    upstream.row = *record;
    upstream.row_version = row.version;
    DropIfTakenOver(id, upstream);
    if (record->IsFenced() && record->covered_by != m_context.self) m_hooks.on_allotments_transferred(id);
  }
  Reconcile();
}

void Ownership::DropIfTakenOver(const UpstreamId& id, Upstream& upstream) {
  const bool is_active = upstream.phase == Phase::kOwned || upstream.phase == Phase::kFencing;
  if (!is_active || upstream.row.owner == m_context.self) return;
  if (upstream.row.epoch >= upstream.epoch) DropOwnership(id, upstream);
}

EntryId Ownership::PreferredOwner(const UpstreamId& id) const {
  std::vector<EntryId> candidates = m_membership.OwnerCandidates();
  const bool is_isolated = m_membership.state() == EntryState::kIsolated;
  if (is_isolated) {
    std::erase_if(candidates, [this](const EntryId& entry) { return !m_membership.HasRecentHeartbeat(entry); });
  }
  return PreferredEntry(id.value(), candidates);
}

bool Ownership::IsOwnerGone(const Upstream& upstream) const {
  const EntryId& owner = upstream.row.owner;
  if (owner.empty() || !m_membership.HasLeaseRecord(owner)) return true;
  // Without the store no record can be expired. If several entries claim the upstream, the runner's fence decides.
  return m_membership.state() == EntryState::kIsolated && !m_membership.HasRecentHeartbeat(owner);
}

void Ownership::Reconcile() {
  if (!m_rows_read) return;
  const EntryState state = m_membership.state();
  const bool may_own =
      state == EntryState::kRecovering || state == EntryState::kServing || state == EntryState::kIsolated;
  if (!may_own) return;
  for (auto& [id, upstream] : m_upstreams) {
    if (!upstream.is_listed) continue;
    if (upstream.phase == Phase::kOwned) {
      ReconcileOwned(id, upstream);
    } else {
      ReconcileUnowned(id, upstream);
    }
  }
  RemoveUnlisted();
}

void Ownership::ReconcileUnowned(const UpstreamId& id, Upstream& upstream) {
  if (m_context.Now() < upstream.next_try) return;
  if (upstream.phase == Phase::kFencing) return Fence(id, upstream);
  if (upstream.phase != Phase::kNone) return;
  if (upstream.row.owner == m_context.self) {
    // The upstream was handed over to this entry, or the row was written before a refusal.
    if (upstream.reported_epoch >= upstream.row.epoch) return Claim(id, upstream);
    upstream.epoch = upstream.row.epoch;
    upstream.is_committed = true;
    return Fence(id, upstream);
  }
  if (IsOwnerGone(upstream) && PreferredOwner(id) == m_context.self) Claim(id, upstream);
}

void Ownership::ReconcileOwned(const UpstreamId& id, Upstream& upstream) {
  if (!IsRecorded(upstream)) CommitFenced(id);
  const EntryId preferred = PreferredOwner(id);
  const bool is_other_preferred = !preferred.empty() && preferred != m_context.self;
  if (!is_other_preferred || !m_membership.IsLeaseValid() || !upstream.is_committed ||
      !m_membership.HasRecentHeartbeat(preferred)) {
    upstream.handover_at = Time();
    return;
  }
  const Time now = m_context.Now();
  if (upstream.handover_at == Time()) upstream.handover_at = now + kHandoverDelay;
  if (now < upstream.handover_at || now < m_next_handover) return;
  m_next_handover = now + m_context.settings.handover_interval;
  HandOver(id, upstream, preferred);
}

void Ownership::Claim(const UpstreamId& id, Upstream& upstream) {
  const std::int64_t epoch = std::max({upstream.row.epoch, upstream.epoch, upstream.reported_epoch}) + 1;
  upstream.next_try = m_context.Now() + kRetryInterval;
  if (m_membership.state() == EntryState::kIsolated && !upstream.is_expiring_leases) {
    upstream.epoch = epoch;
    upstream.is_committed = false;
    return Fence(id, upstream);
  }
  upstream.phase = Phase::kClaiming;
  OwnerRecord record = upstream.row;
  record.owner = m_context.self;
  record.epoch = epoch;
  const std::string key = OwnerKey(m_context.settings.domain, id);
  m_table.Commit({{key, upstream.row_version}, m_membership.MembershipCondition()}, {{key, Encode(record)}},
                 [this, id, epoch](CommitOutcome outcome, std::int64_t version) {
                   OnClaimed(id, epoch, outcome == CommitOutcome::kCommitted, version);
                 });
}

void Ownership::OnClaimed(const UpstreamId& id, std::int64_t epoch, bool committed, std::int64_t version) {
  const auto found = m_upstreams.find(id);
  if (found == m_upstreams.end() || found->second.phase != Phase::kClaiming) return;
  Upstream& upstream = found->second;
  const bool is_expiring_leases = std::exchange(upstream.is_expiring_leases, false);
  if (!committed) {
    upstream.phase = Phase::kNone;
    if (is_expiring_leases) m_hooks.on_ownership_lost(id);
    return;
  }
  upstream.row.owner = m_context.self;
  upstream.row.epoch = epoch;
  upstream.row_version = version;
  upstream.epoch = epoch;
  upstream.is_committed = true;
  EmitChange(EventKind::kOwnerClaimed, id, upstream);
  if (is_expiring_leases) m_hooks.on_leases_expired(id);
  Fence(id, upstream);
}

void Ownership::Fence(const UpstreamId& id, Upstream& upstream) {
  upstream.phase = Phase::kFencing;
  if (upstream.is_fence_pending) return;
  upstream.is_fence_pending = true;
  const Time deadline = m_context.Now() + m_context.settings.upstream_call_timeout;
  const FenceRequest request{FencingToken{m_context.self, upstream.epoch}};
  m_context.effects.CallUpstream(
      id, upstream.info.address, request, deadline,
      [this, id, epoch = upstream.epoch](const UpstreamReply& reply) { OnFenced(id, epoch, reply); });
}

void Ownership::OnFenced(const UpstreamId& id, std::int64_t epoch, const UpstreamReply& reply) {
  const auto found = m_upstreams.find(id);
  if (found == m_upstreams.end()) return;
  Upstream& upstream = found->second;
  upstream.is_fence_pending = false;
  if (upstream.phase != Phase::kFencing || upstream.epoch != epoch) return;
  upstream.next_try = m_context.Now() + kRetryInterval;
  if (reply.status == CallStatus::kRefused) {
    upstream.reported_epoch = std::max(upstream.reported_epoch, reply.current.epoch);
    upstream.phase = Phase::kNone;
    return;
  }
  if (reply.status == CallStatus::kOk) Acquire(id, upstream, reply);
}

void Ownership::Acquire(const UpstreamId& id, Upstream& upstream, const UpstreamReply& reply) {
  upstream.phase = Phase::kOwned;
  upstream.reported_epoch = upstream.epoch;
  upstream.handover_at = Time();
  // The runner still has all its tasks only if the last epoch it accepted is the last one that was recorded. A lower
  // epoch means that it restarted. A higher one means that an owner fenced it without a record, possibly after a
  // restart.
  const bool may_have_forgotten = reply.previous_epoch != upstream.row.fenced_epoch;
  upstream.reset_epoch = may_have_forgotten ? upstream.epoch : upstream.row.reset_epoch;
  EmitChange(EventKind::kOwnerFenced, id, upstream);
  m_hooks.on_acquired(
      AcquiredUpstream{upstream.info, upstream.epoch, upstream.reset_epoch, upstream.is_committed, &reply});
  CommitFenced(id);
}

bool Ownership::IsRecorded(const Upstream& upstream) const {
  return upstream.row.owner == m_context.self && upstream.row.epoch == upstream.epoch && upstream.row.IsFenced();
}

void Ownership::CommitFenced(const UpstreamId& id) {
  Upstream& upstream = m_upstreams.at(id);
  if (upstream.is_write_pending || m_membership.state() == EntryState::kIsolated) return;
  if (m_context.Now() < upstream.next_write) return;
  upstream.next_write = m_context.Now() + kRetryInterval;
  m_hooks.prepare_allotment_transfer(id, upstream.row.covered_by,
                                     [this, id, epoch = upstream.epoch](AllotmentTransfer transfer) {
                                       CommitTransfer(id, epoch, std::move(transfer));
                                     });
}

void Ownership::CommitTransfer(const UpstreamId& id, std::int64_t epoch, AllotmentTransfer transfer) {
  const auto item = m_upstreams.find(id);
  if (item == m_upstreams.end()) return;
  Upstream& upstream = item->second;
  if (upstream.phase != Phase::kOwned || upstream.epoch != epoch || upstream.is_write_pending) return;
  upstream.is_write_pending = true;
  const OwnerRecord record{m_context.self, epoch, epoch, m_context.self, upstream.reset_epoch};
  const std::string key = OwnerKey(m_context.settings.domain, id);
  transfer.conditions.push_back({key, upstream.row_version});
  transfer.conditions.push_back(m_membership.MembershipCondition());
  transfer.writes.push_back({key, Encode(record)});
  m_table.Commit(std::move(transfer.conditions), std::move(transfer.writes),
                 [this, id, record](CommitOutcome outcome, std::int64_t version) {
                   const auto found = m_upstreams.find(id);
                   if (found == m_upstreams.end()) return;
                   Upstream& current = found->second;
                   current.is_write_pending = false;
                   if (outcome != CommitOutcome::kCommitted || version <= current.row_version) return;
                   current.row = record;
                   current.row_version = version;
                   if (current.phase != Phase::kOwned || current.epoch != record.epoch) return;
                   current.is_committed = true;
                   m_hooks.on_committed(id);
                 });
}

void Ownership::HandOver(const UpstreamId& id, Upstream& upstream, const EntryId& to) {
  upstream.phase = Phase::kHandingOver;
  ++m_pending_handovers;
  OwnerRecord record = upstream.row;
  record.owner = to;
  record.epoch = upstream.epoch + 1;
  const std::string key = OwnerKey(m_context.settings.domain, id);
  // Requests with the old epoch stop here, so that none is pending at the runner when the new owner fences it.
  DropOwnership(id, upstream);
  upstream.phase = Phase::kHandingOver;
  m_table.Commit({{key, upstream.row_version}}, {{key, Encode(record)}},
                 [this, id, record](CommitOutcome outcome, std::int64_t version) {
                   --m_pending_handovers;
                   const auto found = m_upstreams.find(id);
                   if (found == m_upstreams.end()) return;
                   found->second.phase = Phase::kNone;
                   if (outcome != CommitOutcome::kCommitted) return;
                   found->second.row = record;
                   found->second.row_version = version;
                   ++m_handovers;
                   m_hooks.on_handed_over();
                 });
}

void Ownership::HandOverAll() {
  std::vector<EntryId> candidates = m_membership.OwnerCandidates();
  std::erase(candidates, m_context.self);
  for (auto& [id, upstream] : m_upstreams) {
    if (upstream.phase == Phase::kOwned) HandOver(id, upstream, PreferredEntry(id.value(), candidates));
  }
}

void Ownership::DropOwnership(const UpstreamId& id, Upstream& upstream) {
  const bool was_owned = upstream.phase == Phase::kOwned || upstream.phase == Phase::kHandingOver;
  upstream.phase = Phase::kNone;
  upstream.is_committed = false;
  upstream.next_try = m_context.Now() + kRetryInterval;
  EmitChange(EventKind::kOwnerReleased, id, upstream);
  if (was_owned) m_hooks.on_ownership_lost(id);
}

void Ownership::OnRefused(const UpstreamId& id, const FencingToken& current) {
  const auto found = m_upstreams.find(id);
  if (found == m_upstreams.end() || found->second.phase != Phase::kOwned) return;
  Upstream& upstream = found->second;
  upstream.reported_epoch = std::max(upstream.reported_epoch, current.epoch);
  if (current.epoch < upstream.epoch) {
    // The runner restarted and has forgotten its epoch.
    DropOwnership(id, upstream);
    upstream.next_try = Time();
    return Claim(id, upstream);
  }
  if (current.epoch > upstream.epoch || current.owner != m_context.self) DropOwnership(id, upstream);
}

void Ownership::ExpireTaskLeases(const UpstreamId& id) {
  const auto found = m_upstreams.find(id);
  if (found == m_upstreams.end() || found->second.phase != Phase::kOwned) return;
  Upstream& upstream = found->second;
  if (!upstream.is_committed || !m_membership.IsLeaseValid()) return;
  upstream.is_expiring_leases = true;
  Claim(id, upstream);
}

std::size_t Ownership::OwnedCount() const {
  return static_cast<std::size_t>(std::count_if(m_upstreams.begin(), m_upstreams.end(),
                                                [](const auto& entry) { return entry.second.phase == Phase::kOwned; }));
}

bool Ownership::HasFencedOwnUpstreams() const {
  return m_rows_read && std::all_of(m_upstreams.begin(), m_upstreams.end(), [this](const auto& entry) {
           const Upstream& upstream = entry.second;
           const bool is_mine = upstream.row.owner == m_context.self || upstream.phase == Phase::kClaiming;
           return !is_mine || !upstream.is_listed || upstream.phase == Phase::kOwned;
         });
}

bool Ownership::IsEveryUpstreamFenced() const {
  return m_rows_read && std::all_of(m_upstreams.begin(), m_upstreams.end(), [this](const auto& item) {
           const Upstream& upstream = item.second;
           if (!upstream.is_listed && upstream.row_version == 0) return true;
           const OwnerRecord& row = upstream.row;
           return row.IsFenced() && m_membership.HasLeaseRecord(row.owner) &&
                  m_membership.HasLeaseRecord(row.covered_by);
         });
}

std::optional<EntryId> Ownership::FindOwner(const UpstreamId& id) const {
  const auto found = m_upstreams.find(id);
  if (found == m_upstreams.end()) return std::nullopt;
  if (found->second.phase == Phase::kOwned) return m_context.self;
  if (found->second.row.owner.empty()) return std::nullopt;
  return found->second.row.owner;
}

void Ownership::RemoveUnlisted() {
  const Time now = m_context.Now();
  std::vector<UpstreamId> gone;
  for (const auto& [id, upstream] : m_upstreams) {
    if (!upstream.is_listed && now >= upstream.remove_at) gone.push_back(id);
  }
  for (const UpstreamId& id : gone) Remove(id, m_upstreams.at(id));
}

void Ownership::Remove(const UpstreamId& id, const Upstream& upstream) {
  const bool is_mine = upstream.row.owner == m_context.self || IsOwnerGone(upstream);
  if (upstream.row_version != 0 && is_mine && m_membership.IsLeaseValid()) {
    const std::string key = OwnerKey(m_context.settings.domain, id);
    m_table.Commit({{key, upstream.row_version}}, {{key, std::nullopt}},
                   [](CommitOutcome /*outcome*/, std::int64_t /*version*/) {});
  }
  if (upstream.phase == Phase::kOwned) m_hooks.on_ownership_lost(id);
  m_hooks.on_removed(id);
  m_upstreams.erase(id);
}

void Ownership::EmitChange(EventKind kind, const UpstreamId& id, const Upstream& upstream) {
  Event event;
  event.kind = kind;
  event.upstream = id;
  event.domain = m_context.settings.domain;
  event.epoch = upstream.epoch;
  m_context.effects.Emit(event);
}

}  // namespace jaymast
