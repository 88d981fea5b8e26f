#include "ownership/ownership.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "core/table_client.h"
#include "membership/membership.h"

namespace jaymast {
namespace {

constexpr Duration kRetryInterval = std::chrono::milliseconds(500);

/// How long a better-ranked entry must stay before it is given an upstream, so that a short restart moves nothing.
constexpr Duration kPreferenceDelay = std::chrono::seconds(2);

/// How long an upstream that left the lagging list is still kept.
constexpr Duration kForgetDelay = std::chrono::seconds(30);

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
    upstream.unlisted_until = now + kForgetDelay;
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
    OnOwnRowChanged(id, upstream);
    if (record->IsFenced() && record->covered_by != m_context.self) m_hooks.on_allotments_transferred(id);
  }
  Reconcile();
}

void Ownership::OnOwnRowChanged(const UpstreamId& id, Upstream& upstream) {
  const bool is_active = upstream.phase == Phase::kOwned || upstream.phase == Phase::kFencing;
  if (!is_active || upstream.row.owner == m_context.self) return;
  if (upstream.row.epoch >= upstream.epoch) Lose(id, upstream);
}

EntryId Ownership::PreferredOwner(const UpstreamId& id) const {
  std::vector<EntryId> candidates = m_membership.OwnerCandidates();
  const bool is_isolated = m_membership.state() == EntryState::kIsolated;
  if (is_isolated)
    std::erase_if(candidates, [this](const EntryId& entry) { return !m_membership.HasRecentHeartbeat(entry); });
  return PreferredEntry(id.value(), candidates);
}

bool Ownership::IsOwnerGone(const Upstream& upstream) const {
  const EntryId& owner = upstream.row.owner;
  if (owner.empty() || !m_membership.HasLeaseRecord(owner)) return true;
  // Without the store nobody can expire the record of a dead entry. The runner's fence decides between two takers.
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
      EvaluateOwned(id, upstream);
    } else {
      EvaluateUnowned(id, upstream);
    }
  }
  ForgetUnlisted();
}

void Ownership::EvaluateUnowned(const UpstreamId& id, Upstream& upstream) {
  if (m_context.Now() < upstream.next_try) return;
  if (upstream.phase == Phase::kFencing) return Fence(id, upstream);
  if (upstream.phase != Phase::kNone) return;
  if (upstream.row.owner == m_context.self) {
    // The row was handed to this entry, or names it from before a refusal.
    if (upstream.seen_epoch >= upstream.row.epoch) return Claim(id, upstream);
    upstream.epoch = upstream.row.epoch;
    upstream.is_committed = true;
    return Fence(id, upstream);
  }
  if (IsOwnerGone(upstream) && PreferredOwner(id) == m_context.self) Claim(id, upstream);
}

void Ownership::EvaluateOwned(const UpstreamId& id, Upstream& upstream) {
  if (!IsRecorded(upstream)) CommitFenced(id);
  const EntryId preferred = PreferredOwner(id);
  const bool is_elsewhere = !preferred.empty() && preferred != m_context.self;
  if (!is_elsewhere || !m_membership.IsLeaseValid() || !upstream.is_committed ||
      !m_membership.HasRecentHeartbeat(preferred)) {
    upstream.prefer_other_at = Time();
    return;
  }
  const Time now = m_context.Now();
  if (upstream.prefer_other_at == Time()) upstream.prefer_other_at = now + kPreferenceDelay;
  if (now < upstream.prefer_other_at || now < m_next_handover) return;
  m_next_handover = now + m_context.settings.handover_interval;
  HandOver(id, upstream, preferred);
}

void Ownership::Claim(const UpstreamId& id, Upstream& upstream) {
  const std::int64_t epoch = std::max({upstream.row.epoch, upstream.epoch, upstream.seen_epoch}) + 1;
  upstream.next_try = m_context.Now() + kRetryInterval;
  if (m_membership.state() == EntryState::kIsolated && !upstream.is_lapsing) {
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
  const bool is_lapsing = std::exchange(upstream.is_lapsing, false);
  if (!committed) {
    upstream.phase = Phase::kNone;
    if (is_lapsing) m_hooks.on_ownership_lost(id);
    return;
  }
  upstream.row.owner = m_context.self;
  upstream.row.epoch = epoch;
  upstream.row_version = version;
  upstream.epoch = epoch;
  upstream.is_committed = true;
  EmitChange(EventKind::kOwnerClaimed, id, upstream);
  if (is_lapsing) m_hooks.on_leases_expired(id);
  Fence(id, upstream);
}

void Ownership::Fence(const UpstreamId& id, Upstream& upstream) {
  upstream.phase = Phase::kFencing;
  if (upstream.is_probing) return;
  upstream.is_probing = true;
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
  upstream.is_probing = false;
  if (upstream.phase != Phase::kFencing || upstream.epoch != epoch) return;
  upstream.next_try = m_context.Now() + kRetryInterval;
  if (reply.status == CallStatus::kRefused) {
    upstream.seen_epoch = std::max(upstream.seen_epoch, reply.current.epoch);
    upstream.phase = Phase::kNone;
    return;
  }
  if (reply.status == CallStatus::kOk) Acquire(id, upstream, reply);
}

void Ownership::Acquire(const UpstreamId& id, Upstream& upstream, const UpstreamReply& reply) {
  upstream.phase = Phase::kOwned;
  upstream.seen_epoch = upstream.epoch;
  upstream.prefer_other_at = Time();
  // The runner remembers its tasks only if the last epoch it accepted is the last one that was recorded. A lower one
  // means that it restarted; a higher one, that somebody fenced it unrecorded and may have met a restart.
  const bool has_forgotten = reply.previous_epoch != upstream.row.fenced_epoch;
  upstream.reset_epoch = has_forgotten ? upstream.epoch : upstream.row.reset_epoch;
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
  if (upstream.is_writing || m_membership.state() == EntryState::kIsolated) return;
  if (m_context.Now() < upstream.next_write) return;
  upstream.next_write = m_context.Now() + kRetryInterval;
  m_hooks.prepare_allotment_transfer(
      id, upstream.row.covered_by,
      [this, id, epoch = upstream.epoch](AllotmentTransfer change) { CommitCover(id, epoch, std::move(change)); });
}

void Ownership::CommitCover(const UpstreamId& id, std::int64_t epoch, AllotmentTransfer change) {
  const auto item = m_upstreams.find(id);
  if (item == m_upstreams.end()) return;
  Upstream& upstream = item->second;
  if (upstream.phase != Phase::kOwned || upstream.epoch != epoch || upstream.is_writing) return;
  upstream.is_writing = true;
  const OwnerRecord record{m_context.self, epoch, epoch, m_context.self, upstream.reset_epoch};
  const std::string key = OwnerKey(m_context.settings.domain, id);
  change.conditions.push_back({key, upstream.row_version});
  change.conditions.push_back(m_membership.MembershipCondition());
  change.writes.push_back({key, Encode(record)});
  m_table.Commit(std::move(change.conditions), std::move(change.writes),
                 [this, id, record](CommitOutcome outcome, std::int64_t version) {
                   const auto found = m_upstreams.find(id);
                   if (found == m_upstreams.end()) return;
                   Upstream& current = found->second;
                   current.is_writing = false;
                   if (outcome != CommitOutcome::kCommitted || version <= current.row_version) return;
                   current.row = record;
                   current.row_version = version;
                   if (current.phase != Phase::kOwned || current.epoch != record.epoch) return;
                   current.is_committed = true;
                   m_hooks.on_committed(id);
                 });
}

void Ownership::HandOver(const UpstreamId& id, Upstream& upstream, const EntryId& to) {
  upstream.phase = Phase::kReleasing;
  ++m_open_releases;
  OwnerRecord record = upstream.row;
  record.owner = to;
  record.epoch = upstream.epoch + 1;
  const std::string key = OwnerKey(m_context.settings.domain, id);
  // No request with the old epoch is sent from here on, so the new owner's fence meets a quiet runner.
  Lose(id, upstream);
  upstream.phase = Phase::kReleasing;
  m_table.Commit({{key, upstream.row_version}}, {{key, Encode(record)}},
                 [this, id, record](CommitOutcome outcome, std::int64_t version) {
                   --m_open_releases;
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

void Ownership::Lose(const UpstreamId& id, Upstream& upstream) {
  const bool was_owned = upstream.phase == Phase::kOwned || upstream.phase == Phase::kReleasing;
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
  upstream.seen_epoch = std::max(upstream.seen_epoch, current.epoch);
  if (current.epoch < upstream.epoch) {
    // The runner restarted and lost its epoch.
    Lose(id, upstream);
    upstream.next_try = Time();
    return Claim(id, upstream);
  }
  if (current.epoch > upstream.epoch || current.owner != m_context.self) Lose(id, upstream);
}

void Ownership::ExpireTaskLeases(const UpstreamId& id) {
  const auto found = m_upstreams.find(id);
  if (found == m_upstreams.end() || found->second.phase != Phase::kOwned) return;
  Upstream& upstream = found->second;
  if (!upstream.is_committed || !m_membership.IsLeaseValid()) return;
  upstream.is_lapsing = true;
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

void Ownership::ForgetUnlisted() {
  const Time now = m_context.Now();
  std::vector<UpstreamId> gone;
  for (const auto& [id, upstream] : m_upstreams) {
    if (!upstream.is_listed && now >= upstream.unlisted_until) gone.push_back(id);
  }
  for (const UpstreamId& id : gone) Forget(id, m_upstreams.at(id));
}

void Ownership::Forget(const UpstreamId& id, const Upstream& upstream) {
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
