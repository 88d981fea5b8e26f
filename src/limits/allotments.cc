#include "limits/allotments.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "configuration/config_store.h"
#include "core/table_client.h"
#include "limits/allotment_row.h"
#include "membership/membership.h"

namespace jaymast {
namespace {

/// Time between two requests to other holders for the same team.
constexpr Duration kRequestInterval = std::chrono::milliseconds(200);

constexpr Duration kTransferRetryInterval = std::chrono::seconds(1);

/// Refused starts raise an allotment by at most the current usage plus this number, so that repeated refusals of one
/// task do not claim the whole limit.
constexpr std::int64_t kRaiseStep = 8;

/// Every this many prewarm intervals that need no raise, the row of the current team is read again.
constexpr std::uint64_t kRefreshTicks = 5;

/// Base delay before a conflicting update is retried. Without it, holders of one row would conflict repeatedly.
constexpr Duration kConflictBackoff = std::chrono::milliseconds(10);

/// Interval between updates of base allotments. Each updates one team; the teams take turns.
constexpr Duration kPrewarmInterval = std::chrono::milliseconds(200);

constexpr std::string_view kRowPrefix = "allot/";

std::string RowKey(const TeamId& team) { return std::string(kRowPrefix) + team.value(); }

std::int64_t Sum(const std::map<EntryId, std::int64_t>& holders) {
  return std::accumulate(holders.begin(), holders.end(), std::int64_t{0},
                         [](std::int64_t sum, const auto& holder) { return sum + holder.second; });
}

}  // namespace

Allotments::Allotments(Context& context, TableClient& table, const ConfigStore& config, const Membership& membership,
                       Hooks hooks)
    : m_context(context), m_table(table), m_config(config), m_membership(membership), m_hooks(std::move(hooks)) {}

void Allotments::Start() { Prewarm(); }

std::int64_t Allotments::Limit(const TeamId& team) const {
  const auto known = m_config.config().teams.find(team);
  return known == m_config.config().teams.end() ? 0 : known->second.limit;
}

std::int64_t Allotments::OwnAmount(const TeamState& state) const {
  const auto own = state.holders.find(m_context.self);
  return own == state.holders.end() ? 0 : own->second;
}

std::int64_t Allotments::Allowed(const TeamId& team) const {
  const auto state = m_teams.find(team);
  if (state == m_teams.end()) return 0;
  const std::int64_t own = OwnAmount(state->second);
  const std::int64_t sum = Sum(state->second.holders);
  const std::int64_t limit = Limit(team);
  if (sum <= limit) return own;
  // The limit was lowered. Every holder scales its allotment by the same ratio, so that their sum respects the new
  // limit before the row is rewritten.
  return own * limit / sum;
}

std::int64_t Allotments::Used(const TeamId& team) const {
  const auto state = m_teams.find(team);
  return state == m_teams.end() ? 0 : state->second.used;
}

bool Allotments::TryAcquire(const TeamId& team) {
  TeamState& state = m_teams[team];
  if (state.used < Allowed(team)) {
    ++state.used;
    return true;
  }
  ++state.wanted;
  Adjust(team);
  return false;
}

void Allotments::Release(const TeamId& team) { --m_teams[team].used; }

void Allotments::CountInherited(const TeamId& team, std::int64_t count) { m_teams[team].used += count; }

void Allotments::PrepareTransfer(const std::map<TeamId, std::int64_t>& counts, const EntryId& from,
                                 std::function<void(std::vector<Condition>, std::vector<Write>)> done) {
  if (counts.empty() || from.empty() || from == m_context.self) return done({}, {});
  ReadRequest request;
  for (const auto& [team, count] : counts) request.keys.push_back(RowKey(team));
  m_table.Read(request, [this, counts, from, done = std::move(done)](const ReadReply& reply) {
    if (!reply.available) return;
    std::vector<Condition> conditions;
    std::vector<Write> writes;
    for (const Row& row : reply.rows) {
      const TeamId team(row.key.substr(kRowPrefix.size()));
      const Result<Holders> decoded = DecodeAllotments(row.value);
      if (!decoded) return;
      Holders holders = *decoded;
      const std::int64_t moved = std::min(counts.at(team), holders[from]);
      holders[from] -= moved;
      holders[m_context.self] += moved;
      conditions.push_back({row.key, row.version});
      writes.push_back({row.key, EncodeAllotments(holders)});
    }
    done(std::move(conditions), std::move(writes));
  });
}

void Allotments::Refresh(const std::vector<TeamId>& teams) {
  for (const TeamId& team : teams) {
    ReadRequest request;
    request.keys.push_back(RowKey(team));
    m_table.Read(request, [this, team](const ReadReply& reply) {
      if (reply.available) OnRow(team, reply.rows);
      m_hooks.on_raised();
    });
  }
}

void Allotments::RetainUsage(const UpstreamId& upstream, const std::map<TeamId, std::int64_t>& counts) {
  RetainedUsage& retained = m_retained_usage[upstream];
  retained.sequence = m_next_sequence++;
  for (const auto& [team, count] : counts) retained.counts[team] += count;
}

void Allotments::OnTransferred(const UpstreamId& upstream) {
  const auto retained = m_retained_usage.find(upstream);
  if (retained == m_retained_usage.end()) return;
  ReadRequest request;
  for (const auto& [team, count] : retained->second.counts) request.keys.push_back(RowKey(team));
  // Read the rows before dropping the count, so that the transferred allotment is no longer used here.
  const std::uint64_t sequence = retained->second.sequence;
  m_table.Read(request, [this, upstream, sequence](const ReadReply& reply) {
    if (!reply.available) {
      m_context.After(kTransferRetryInterval, [this, upstream] { OnTransferred(upstream); });
      return;
    }
    for (const Row& row : reply.rows) {
      if (!OnRow(TeamId(row.key.substr(kRowPrefix.size())), {row})) return;
    }
    const auto current = m_retained_usage.find(upstream);
    if (current != m_retained_usage.end() && current->second.sequence == sequence) DropRetainedUsage(upstream);
  });
}

void Allotments::DropRetainedUsage(const UpstreamId& upstream) {
  const auto retained = m_retained_usage.find(upstream);
  if (retained == m_retained_usage.end()) return;
  for (const auto& [team, count] : retained->second.counts) m_teams[team].used -= count;
  m_retained_usage.erase(retained);
}

void Allotments::OnCommitted(const TeamId& team, const Holders& holders, std::int64_t version) {
  TeamState& state = m_teams[team];
  if (version > state.row_version) {
    state.row_version = version;
    state.holders = holders;
  }
  EmitChange(team);
  m_hooks.on_raised();
}

std::int64_t Allotments::BaseAmount(const TeamId& team) const {
  const auto entries = static_cast<std::int64_t>(m_membership.peers().size()) + 1;
  // An even split that leaves one share in the pool for bursts. An isolated entry has only its share.
  return Limit(team) / (entries + 1);
}

std::int64_t Allotments::UsefulIncrease(const TeamState& state) const {
  return std::min({state.wanted, state.used + kRaiseStep, m_hooks.free_slots()});
}

bool Allotments::Raise(const TeamId& team, Holders& holders) {
  TeamState& state = m_teams[team];
  const std::int64_t sum = Sum(holders);
  const std::int64_t free = Limit(team) - sum;
  const std::int64_t own = holders[m_context.self];
  if (free < 0) {
    // Write the reduction that Allowed() already applies.
    holders[m_context.self] = std::max(state.used, own * Limit(team) / sum);
    return holders[m_context.self] != own;
  }
  const std::int64_t base = BaseAmount(team);
  const std::int64_t target = std::max({state.used + UsefulIncrease(state), base, state.used + base / 2});
  if (target <= own || free == 0) return false;
  holders[m_context.self] = own + std::min(free, target - own);
  return true;
}

void Allotments::Adjust(const TeamId& team) {
  if (m_teams[team].adjusting) return;
  Update(team, [this, team](Holders& holders) { return Raise(team, holders); });
}

void Allotments::Update(const TeamId& team, Change change) {
  m_teams[team].adjusting = true;
  ReadRequest request;
  request.keys.push_back(RowKey(team));
  m_table.Read(request, [this, team, change = std::move(change)](const ReadReply& reply) {
    // An unreadable row may allot the whole limit, so nothing is taken from it.
    if (!reply.available || !OnRow(team, reply.rows)) {
      m_teams[team].adjusting = false;
      m_teams[team].wanted = 0;
      return;
    }
    CommitUpdate(team, change);
  });
}

bool Allotments::OnRow(const TeamId& team, const std::vector<Row>& rows) {
  TeamState& state = m_teams[team];
  if (rows.empty() || rows.front().version < state.row_version) return true;
  Result<Holders> holders = DecodeAllotments(rows.front().value);
  if (!holders) return false;
  state.row_version = rows.front().version;
  state.holders = std::move(*holders);
  return true;
}

void Allotments::CommitUpdate(const TeamId& team, const Change& change) {
  TeamState& state = m_teams[team];
  Holders holders = state.holders;
  if (!change(holders)) {
    state.adjusting = false;
    // Request only what the own allotment lacks. Requesting more would repeat forever, because each request raises
    // `wanted` again, and all holders would write the same row at once.
    const std::int64_t missing = state.used + UsefulIncrease(state) - Allowed(team);
    state.wanted = 0;
    if (missing > 0) RequestFromHolders(team, missing);
    return;
  }
  m_table.Commit({{RowKey(team), state.row_version}, m_membership.MembershipCondition()},
                 {{RowKey(team), EncodeAllotments(holders)}},
                 [this, team, change, holders](CommitOutcome outcome, std::int64_t version) {
                   TeamState& current = m_teams[team];
                   current.adjusting = false;
                   if (outcome == CommitOutcome::kConflict) {
                     m_context.After(m_context.Jittered(kConflictBackoff),
                                     [this, team, change] { Update(team, change); });
                     return;
                   }
                   current.wanted = 0;
                   if (outcome != CommitOutcome::kCommitted) return;
                   OnCommitted(team, holders, version);
                 });
}

void Allotments::EmitChange(const TeamId& team) {
  Event event;
  event.kind = EventKind::kAllotmentChanged;
  event.team = team;
  event.amount = OwnAmount(m_teams[team]);
  m_context.effects.Emit(event);
}

void Allotments::RequestFromHolders(const TeamId& team, std::int64_t amount) {
  TeamState& state = m_teams[team];
  if (m_context.Now() < state.next_request) return;
  state.next_request = m_context.Now() + kRequestInterval;
  for (const auto& [entry, held] : state.holders) {
    const bool can_request = held > 0 && entry != m_context.self && m_membership.HasRecentHeartbeat(entry);
    if (can_request) m_context.effects.SendPeer(entry, AllotmentRequest{team, amount});
  }
  // By then the holders may have returned some allotment to the pool.
  m_context.After(kRequestInterval, [this, team, amount] {
    m_teams[team].wanted = std::max(m_teams[team].wanted, amount);
    Adjust(team);
  });
}

void Allotments::OnRequest(const TeamId& team, std::int64_t amount) {
  TeamState& state = m_teams[team];
  if (state.adjusting) return;
  Update(team, [this, team, amount](Holders& holders) {
    const std::int64_t own = holders[m_context.self];
    const std::int64_t idle = own - m_teams[team].used;
    const std::int64_t given = std::min(amount, (idle + 1) / 2);
    if (given <= 0) return false;
    // Apply the reduction before it is committed, so that no start uses what is being returned.
    m_teams[team].holders[m_context.self] = own - given;
    holders[m_context.self] = own - given;
    return true;
  });
}

std::set<EntryId> Allotments::HoldersWithoutLease() const {
  std::set<EntryId> absent;
  for (const auto& [team, state] : m_teams) {
    for (const auto& [entry, amount] : state.holders) {
      const bool is_own_domain = amount > 0 && DomainOf(entry) == m_context.settings.domain;
      if (is_own_domain && !m_membership.HasLeaseRecord(entry)) absent.insert(entry);
    }
  }
  return absent;
}

void Allotments::ReclaimFrom(const EntryId& gone) {
  for (const auto& [team, state] : m_teams) {
    if (!state.holders.contains(gone)) continue;
    Update(team, [gone](Holders& holders) { return holders.erase(gone) > 0; });
  }
}

void Allotments::Prewarm() {
  const auto& teams = m_config.config().teams;
  auto next = teams.upper_bound(m_prewarmed);
  if (next == teams.end()) next = teams.begin();
  if (next != teams.end()) {
    m_prewarmed = next->first;
    const std::int64_t base = BaseAmount(m_prewarmed);
    const std::int64_t wanted = std::max(base, Used(m_prewarmed) + base / 2);
    const bool needs_base = Allowed(m_prewarmed) < wanted && m_membership.IsLeaseValid();
    if (needs_base) Adjust(m_prewarmed);
    // Detects holders that have left since the row was last read.
    if (!needs_base && ++m_prewarm_ticks % kRefreshTicks == 0) Refresh({m_prewarmed});
  }
  m_context.After(kPrewarmInterval, [this] { Prewarm(); });
}

}  // namespace jaymast
