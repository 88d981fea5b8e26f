#include "core/entry_node.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <utility>

#include "base/http_status.h"
#include "model/codec.h"

namespace jaymast {
namespace {

/// Interval between reads of the entry records of all failure domains. The records of the own domain are read with each
/// renewal. Reads run on the renewal timer, so the actual interval is up to one renewal interval longer. It must stay
/// below the 5.5 s (lease, drift bound and kOtherDomainDelay) after which an entry of another domain tries to expire a
/// record that it has not seen change; otherwise it would try to expire live records.
constexpr Duration kFullReadInterval = std::chrono::seconds(4);

/// As kFullReadInterval, for clusters of at most kMaxPeersForFullBroadcast peers.
constexpr Duration kSmallClusterFullReadInterval = std::chrono::seconds(1);

/// Delay from finding that a holder of allotments has left until its allotments are reclaimed. If the holder fenced
/// an upstream of another owner during an outage of the store, that owner has noticed by then and has fenced it again.
constexpr Duration kReclaimDelay = std::chrono::seconds(5);

/// Average number of owner rows read per renewal interval. All rows of a failure domain are read at once, so a domain
/// with more rows is read less often, which bounds its read traffic.
constexpr std::int64_t kOwnerRowsPerInterval = 64;

/// Time after which a recovering entry serves even if some of its upstreams have not replied.
constexpr Duration kRecoverTimeout = std::chrono::seconds(3);

/// Interval between checks whether the lifecycle can advance.
constexpr Duration kAdvanceInterval = std::chrono::milliseconds(100);

/// Peers in other failure domains, drawn at random, that get a heartbeat each interval.
constexpr std::size_t kRemoteSummaryCount = 4;

/// Up to this number of peers, every peer gets every heartbeat.
constexpr std::size_t kMaxPeersForFullBroadcast = 16;

std::vector<Row> RowsWithPrefix(const std::vector<Row>& rows, std::string_view prefix) {
  std::vector<Row> found;
  for (const Row& row : rows) {
    if (row.key.starts_with(prefix)) found.push_back(row);
  }
  return found;
}

}  // namespace

EntryId EntryNode::MakeId(const EntrySettings& settings, Effects& effects) {
  constexpr std::uint64_t kSuffixBits = 0xffffffffULL;
  return EntryId(fmt::format("{}.{}.{:08x}", settings.domain.value(), settings.name, effects.Random() & kSuffixBits));
}

EntryNode::EntryNode(const EntrySettings& settings, Effects& effects, std::function<void()> on_lease_lost)
    : m_effects(effects, settings.name),
      m_context{settings, m_effects, m_timers, MakeId(settings, effects)},
      m_table(m_context),
      m_config(m_context, [this] { OnConfigInstalled(); }),
      m_membership(m_context, m_table, MembershipHooks(std::move(on_lease_lost))),
      m_allotments(
          m_context, m_table, m_config, m_membership,
          Allotments::Hooks{[this] { m_executor.Dispatch(); }, [this] { return m_executor.placer().Free().slots; }}),
      m_executor(m_context, m_config, m_membership, m_allotments, ExecutorHooks()),
      m_ownership(m_context, m_table, m_membership, OwnershipHooks()),
      m_router(m_context, m_config, m_membership, m_executor),
      m_previews(m_context, m_config, m_router, m_executor),
      m_tasks(m_context, m_table, m_config, m_membership, m_router,
              TaskManager::Hooks{[this](const EntryId& to, const PeerMessage& message) { Send(to, message); }}),
      m_plan_service(m_context, m_table, m_config, m_membership, m_tasks, PlanServiceHooks()) {}

Membership::Hooks EntryNode::MembershipHooks(std::function<void()> on_lease_lost) {
  Membership::Hooks hooks;
  hooks.on_lease_lost = std::move(on_lease_lost);
  hooks.on_peer_expired = [this] { m_next_owner_read = Time(); };
  hooks.on_state = [this](EntryState state) { OnStateChange(state); };
  return hooks;
}

Ownership::Hooks EntryNode::OwnershipHooks() {
  Ownership::Hooks hooks;
  hooks.on_acquired = [this](const AcquiredUpstream& acquisition) { m_executor.OnAcquired(acquisition); };
  hooks.on_ownership_lost = [this](const UpstreamId& id) { m_executor.OnOwnershipLost(id); };
  hooks.on_allotments_transferred = [this](const UpstreamId& id) { m_allotments.OnTransferred(id); };
  hooks.prepare_allotment_transfer = [this](const UpstreamId& id, const EntryId& from,
                                            const std::function<void(AllotmentTransfer)>& done) {
    m_executor.PrepareAllotmentTransfer(id, from, done);
  };
  hooks.on_committed = [this](const UpstreamId& id) { m_executor.OnCommitted(id); };
  hooks.on_leases_expired = [this](const UpstreamId& id) { m_executor.OnLeasesExpired(id); };
  hooks.on_handed_over = [this] { SendSummary(); };
  hooks.on_removed = [this](const UpstreamId& id) { m_allotments.DropRetainedUsage(id); };
  return hooks;
}

Executor::Hooks EntryNode::ExecutorHooks() {
  Executor::Hooks hooks;
  hooks.send = [this](const EntryId& to, const PeerMessage& message) { Send(to, message); };
  hooks.on_refused = [this](const UpstreamId& id, const FencingToken& current) { m_ownership.OnRefused(id, current); };
  hooks.on_unreachable = [this](const UpstreamId& id) { m_ownership.ExpireTaskLeases(id); };
  return hooks;
}

PlanService::Hooks EntryNode::PlanServiceHooks() {
  PlanService::Hooks hooks;
  hooks.facts = [this] { return Facts(); };
  hooks.push = [this](const ClusterConfig& config) { BroadcastConfig(config); };
  return hooks;
}

void EntryNode::Start() {
  m_started = true;
  m_membership.Start();
  m_executor.Start();
  m_tasks.Start();
  m_allotments.Start();
  PollTable();
  SendSummaries();
  AdvanceLifecycle();
}

void EntryNode::OnStateChange(EntryState state) {
  Event event;
  event.kind = EventKind::kEntryState;
  event.other = m_context.self;
  event.domain = m_context.settings.domain;
  event.detail = std::string(ToString(state));
  m_effects.Emit(event);
  // Peers choose owners by the state in the lease record.
  if (m_started && state != EntryState::kStopped && state != EntryState::kIsolated) m_membership.Renew();
}

void EntryNode::PollTable() {
  m_context.After(m_context.settings.renew_interval, [this] { PollTable(); });
  ReadTable();
}

void EntryNode::ReadTable() {
  if (m_is_read_pending || IsStopped()) return;
  m_is_read_pending = true;
  const Time now = m_context.Now();
  const bool is_full = now >= m_next_full_read;
  const bool reads_owners = now >= m_next_owner_read;
  ReadRequest request;
  request.keys.emplace_back(kConfigKey);
  request.prefixes.emplace_back(kAdoptPrefix);
  request.prefixes.emplace_back(kConfirmedPrefix);
  const std::string own_prefix = std::string(kEntryPrefix) + m_context.settings.domain.value() + ".";
  request.prefixes.push_back(is_full ? std::string(kEntryPrefix) : own_prefix);
  if (reads_owners) request.prefixes.push_back(OwnerPrefix(m_context.settings.domain));
  const std::set<EntryId> absent = m_allotments.HoldersWithoutLease();
  m_table.Read(request, [this, is_full, reads_owners, absent](const ReadReply& reply) {
    m_is_read_pending = false;
    if (!reply.available) m_membership.OnReadFailed();
    if (reply.available) OnTableRead(is_full, reads_owners, reply);
    if (reply.available && reads_owners && IsServing()) ReclaimAllotments(absent);
    m_ownership.Reconcile();
  });
}

void EntryNode::OnTableRead(bool is_full, bool reads_owners, const ReadReply& reply) {
  const Time now = m_context.Now();
  const std::vector<Row> config = RowsWithPrefix(reply.rows, kConfigKey);
  bool has_config = false;
  for (const Row& row : config) {
    if (row.key != kConfigKey) continue;
    has_config = true;
    m_config.OnRow(row);
  }
  if (!has_config) OnConfigMissing();
  const std::string own_prefix = std::string(kEntryPrefix) + m_context.settings.domain.value() + ".";
  const std::string prefix = is_full ? std::string(kEntryPrefix) : own_prefix;
  const bool changed = m_membership.OnRows(prefix, RowsWithPrefix(reply.rows, prefix));
  const bool is_small = m_membership.peers().size() <= kMaxPeersForFullBroadcast;
  if (is_full) m_next_full_read = now + (is_small ? kSmallClusterFullReadInterval : kFullReadInterval);
  if (reads_owners) {
    const std::vector<Row> owners = RowsWithPrefix(reply.rows, OwnerPrefix(m_context.settings.domain));
    const std::int64_t intervals = 1 + static_cast<std::int64_t>(owners.size()) / kOwnerRowsPerInterval;
    m_next_owner_read = now + m_context.settings.renew_interval * (intervals - 1);
    m_ownership.OnRows(owners);
  }
  if (changed) m_next_owner_read = Time();
  m_tasks.OnAdoptRows(RowsWithPrefix(reply.rows, kAdoptPrefix));
  if (IsServing()) m_plan_service.OnConfirmedRows(RowsWithPrefix(reply.rows, kConfirmedPrefix));
}

void EntryNode::OnConfigMissing() {
  ClusterConfig initial = m_context.settings.initial_config;
  if (initial.version == 0) initial.version = 1;
  m_table.Commit({{std::string(kConfigKey), 0}}, {{std::string(kConfigKey), boost::json::serialize(ToJson(initial))}},
                 [this, initial](CommitOutcome outcome, std::int64_t version) {
                   if (outcome == CommitOutcome::kCommitted) m_config.OnCommitted(initial, version);
                   if (outcome == CommitOutcome::kConflict) ReadTable();
                 });
}

void EntryNode::OnConfigInstalled() {
  m_membership.AcknowledgeConfig(m_config.config().version);
  m_executor.OnConfig();
  if (m_started) m_membership.Renew();
}

void EntryNode::ReclaimAllotments(const std::set<EntryId>& absent_before_read) {
  // A holder had a lease record when it wrote the row. If a later read finds none, its id never comes back.
  const Time now = m_context.Now();
  const std::set<EntryId> absent_now = m_allotments.HoldersWithoutLease();
  std::erase_if(m_reclaim_at, [&absent_now](const auto& item) { return !absent_now.contains(item.first); });
  for (const EntryId& id : absent_now) {
    if (absent_before_read.contains(id)) m_reclaim_at.try_emplace(id, now + kReclaimDelay);
  }
  if (!m_ownership.IsEveryUpstreamFenced()) return;
  for (const auto& [id, due] : m_reclaim_at) {
    const bool is_reclaimer = PreferredEntry(id.value(), m_membership.OwnerCandidates()) == m_context.self;
    if (now >= due && is_reclaimer) m_allotments.ReclaimFrom(id);
  }
}

void EntryNode::AdvanceLifecycle() {
  m_context.After(kAdvanceInterval, [this] { AdvanceLifecycle(); });
  switch (m_membership.state()) {
    case EntryState::kJoining:
      if (m_membership.IsJoined() && m_config.IsLoaded()) {
        m_recover_deadline = m_context.Now() + kRecoverTimeout;
        m_membership.Handle(LifecycleEvent::kJoined);
      }
      return;
    case EntryState::kRecovering:
      m_ownership.Reconcile();
      if ((m_ownership.HasFencedOwnUpstreams() && CanPlacePreviews()) || m_context.Now() >= m_recover_deadline) {
        m_membership.Handle(LifecycleEvent::kRecovered);
      }
      return;
    case EntryState::kServing:
    case EntryState::kIsolated:
      m_membership.ExpirePeers();
      return m_ownership.Reconcile();
    case EntryState::kDraining:
      return AdvanceDrain();
    case EntryState::kStopped:
      return;
  }
}

bool EntryNode::CanPlacePreviews() const {
  if (m_executor.HasUsableUpstream()) return true;
  const auto& peers = m_membership.peers();
  return std::any_of(peers.begin(), peers.end(), [this](const auto& item) {
    return m_membership.HasRecentHeartbeat(item.first) && item.second.summary.serving;
  });
}

void EntryNode::OnStopRequested() {
  if (m_membership.state() == EntryState::kDraining || IsStopped()) return;
  m_membership.Handle(LifecycleEvent::kStopRequested);
  m_drain_deadline = m_context.Now() + m_context.settings.drain_wait;
  m_tasks.StopAccepting();
  m_executor.RefuseAllWaiting();
  m_ownership.HandOverAll();
}

void EntryNode::AdvanceDrain() {
  // Callers that wait for outcomes may wait until the drain deadline; then they get the current state of their tasks.
  if (m_tasks.HasWaiters() && m_context.Now() < m_drain_deadline) return;
  m_tasks.Drain();
  const bool is_idle = m_previews.open() == 0 && m_executor.OpenRuns() == 0 && m_tasks.IsQuiet() &&
                       m_plan_service.IsIdle() && !m_ownership.IsHandingOver();
  if (!is_idle || m_membership.IsLeaving()) return;
  m_membership.Leave([this] { m_membership.Handle(LifecycleEvent::kDrained); });
}

void EntryNode::SendSummaries() {
  m_context.After(m_context.settings.summary_interval, [this] { SendSummaries(); });
  if (m_membership.IsJoined()) SendSummary();
}

void EntryNode::SendSummary() {
  Summary summary = m_executor.MakeSummary();
  summary.handovers = m_ownership.handovers();
  const auto& peers = m_membership.peers();
  std::vector<EntryId> remote;
  for (const auto& [id, peer] : peers) {
    const bool is_always_sent =
        peer.record.domain == m_context.settings.domain || peers.size() <= kMaxPeersForFullBroadcast;
    if (is_always_sent) {
      m_effects.SendPeer(id, summary);
    } else {
      remote.push_back(id);
    }
  }
  for (std::size_t i = 0; i < kRemoteSummaryCount && !remote.empty(); ++i) {
    m_effects.SendPeer(remote[m_effects.Random() % remote.size()], summary);
  }
}

void EntryNode::OnSummary(const EntryId& from, const Summary& summary) {
  const auto peer = m_membership.peers().find(from);
  const bool has_handed_over = peer != m_membership.peers().end() && summary.domain == m_context.settings.domain &&
                               peer->second.summary.handovers != summary.handovers;
  m_membership.OnSummary(from, summary);
  m_router.OnSummary(from);
  // The sender joined after the last read.
  if (peer == m_membership.peers().end()) m_next_full_read = Time();
  if (!has_handed_over) return;
  m_next_owner_read = Time();
  ReadTable();
}

void EntryNode::BroadcastConfig(const ClusterConfig& config) {
  const ConfigPush push{boost::json::serialize(ToJson(config))};
  for (const auto& [id, peer] : m_membership.peers()) m_effects.SendPeer(id, push);
}

void EntryNode::Send(const EntryId& to, const PeerMessage& message) {
  if (to != m_context.self) return m_effects.SendPeer(to, message);
  // Messages to this entry itself are handled like those of peers, from a timer.
  m_timers.At(m_context.Now(), [this, message] { OnPeer(m_context.self, message); });
}

PlannerFacts EntryNode::Facts() const {
  PlannerFacts facts;
  facts.instances = m_instances;
  for (const auto& [team, value] : m_config.config().teams) facts.running[team] = m_allotments.Used(team);
  for (const auto& [id, task] : m_executor.tasks()) facts.placed[task.upstream].push_back(id.task.value());
  return facts;
}

void EntryNode::OnInstances(const InstanceList& list) {
  m_instances = list;
  m_ownership.OnInstances(list);
  m_executor.OnInstances(list);
}

void EntryNode::OnTick() { m_timers.Run(m_context.Now()); }

void EntryNode::OnRequestGone(RequestId id) {
  m_effects.Close(id);
  Event event;
  event.kind = EventKind::kCallerLeft;
  event.request = id;
  m_effects.Emit(event);
  m_previews.OnRequestGone(id);
  m_tasks.OnRequestGone(id);
}

void EntryNode::AbandonAll() {
  m_previews.AbandonAll();
  Response response;
  response.status = kStatusUnavailable;
  response.verdict = Verdict::kMayHaveRun;
  response.error =
      Error{ErrorId::kNotServing, "", "this entry lost its lease; retry with the task id or the same idempotency key"};
  const std::set<RequestId> open = m_effects.open();
  for (const RequestId id : open) m_effects.Reply(id, response);
}

bool EntryNode::IsServing() const {
  const EntryState state = m_membership.state();
  return state == EntryState::kServing || state == EntryState::kIsolated;
}

bool EntryNode::IsReady() const { return IsServing() && m_config.IsLoaded(); }

/// Dispatches a message of a peer, or of this entry to itself.
struct PeerVisitor {
  EntryNode& node;
  const EntryId& from;

  void operator()(const Summary& message) const { node.OnSummary(from, message); }
  void operator()(const RunRequest& message) const {
    node.m_executor.Run(message, from,
                        [this_node = &node, to = from](const RunReply& reply) { this_node->Send(to, reply); });
  }
  void operator()(const RunReply& message) const { node.m_previews.OnRunReply(message); }
  void operator()(const HoldRequest& message) const { node.m_executor.OnHoldRequest(from, message); }
  void operator()(const HoldReply& message) const { node.m_tasks.OnHoldReply(from, message); }
  void operator()(const StartOrder& message) const { node.m_executor.OnStartOrder(from, message); }
  void operator()(const ReleaseHold& message) const { node.m_executor.OnReleaseHold(message); }
  void operator()(const TaskResult& message) const { node.m_tasks.OnResult(from, message); }
  void operator()(const TaskResultAck& message) const { node.m_executor.OnResultAck(message); }
  void operator()(const TaskProbe& message) const { node.m_executor.OnProbe(from, message); }
  void operator()(const TaskRunning& message) const { node.m_tasks.OnRunning(message); }
  void operator()(const StopOrder& message) const { node.m_executor.OnStopOrder(message); }
  void operator()(const ConfigPush& message) const { node.m_config.OnPush(message.config); }
  void operator()(const AllotmentRequest& message) const { node.m_allotments.OnRequest(message.team, message.amount); }
  void operator()(const TaskQuery& message) const { node.m_tasks.OnQuery(from, message); }
  void operator()(const TaskQueryReply& message) const { node.m_tasks.OnQueryReply(message); }
};

void EntryNode::OnPeer(const EntryId& from, const PeerMessage& message) {
  if (IsStopped()) return;
  std::visit(PeerVisitor{*this, from}, message);
}

}  // namespace jaymast
