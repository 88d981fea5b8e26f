#include "cell/leader_election.h"

#include <algorithm>
#include <utility>

namespace jaymast {
namespace {

/// Time between two reads of the leader row while the leader shows no progress.
constexpr Duration kReadInterval{150'000};
/// Instances of rank 0 to 7 start their attempts this much apart, so that most need not write.
constexpr Duration kRankDelay{15'000};
constexpr std::uint64_t kRanks = 8;
/// Further delay for each class below the fittest one. Longer than the spread of the attempts of one class, which is a
/// read interval and the largest rank delay together.
constexpr Duration kClassDelay{400'000};
/// Time after a handover in which only the named successor takes over.
constexpr Duration kSuccessorHeadStart{250'000};

}  // namespace

LeaderElection::LeaderElection(StateStore& store, std::string address, std::uint64_t rank, LeaderClass leader_class,
                               ElectedCallback on_elected)
    : m_store(store),
      m_address(std::move(address)),
      m_rank_delay(kRankDelay * static_cast<std::int64_t>(rank % kRanks)),
      m_class(leader_class),
      m_on_elected(std::move(on_elected)) {}

void LeaderElection::OnTick(Time now) {
  m_now = now;
  if (m_is_leader || m_is_reading || m_is_campaigning) return;
  if (now < m_next_read) return;
  if (now - m_progress_at < kProgressTimeout && !m_leader.address.empty()) return;
  Read(now);
}

void LeaderElection::OnLeaderProgress(const LeaderRecord& record, std::int64_t version, Time now) {
  if (m_is_leader || record.epoch < m_leader.epoch) return;
  m_is_connection_refused = false;
  if (record.epoch == m_leader.epoch && record.sequence <= m_leader.sequence && record.address == m_leader.address) {
    return;
  }
  m_leader = record;
  m_progress_at = now;
  m_version = version;
  m_version_seen_at = now;
}

void LeaderElection::OnLeaderConnectionRefused(Time now) {
  m_is_connection_refused = true;
  m_progress_at = Time{};
  m_next_read = std::min(m_next_read, now);
}

void LeaderElection::RequestRead() {
  m_progress_at = Time{};
  m_next_read = Time{};
}

void LeaderElection::OnDeposed(Time now) {
  m_is_leader = false;
  m_leader.address.clear();
  m_version.reset();
  m_next_read = now;
}

void LeaderElection::Read(Time now) {
  m_is_reading = true;
  const std::string key = kLeaderKey;
  m_store.Scan(kLeaderTable, key, key + '\x01', {1, PageSizer::kMinTimeout},
               [this, now](const StateScanReply& reply) { OnRow(now, reply); });
}

void LeaderElection::OnRow(Time sent_at, const StateScanReply& reply) {
  m_is_reading = false;
  m_next_read = m_now + kReadInterval;
  if (m_is_leader) return;
  if (!reply.is_available) {
    // An unchanged row during an outage of the store is no sign that the leader is gone.
    m_version.reset();
    return;
  }
  const std::int64_t version = reply.rows.empty() ? 0 : reply.rows.front().version;
  if (!m_version || *m_version != version) {
    if (!reply.rows.empty()) {
      const std::optional<LeaderRecord> record = DecodeLeaderRecord(reply.rows.front().value);
      if (record && (record->epoch > m_leader.epoch ||
                     (record->epoch == m_leader.epoch && record->sequence >= m_leader.sequence))) {
        if (record->sequence != m_leader.sequence || record->epoch != m_leader.epoch) m_progress_at = m_now;
        m_leader = *record;
      }
    }
    m_version = version;
    m_version_seen_at = m_now;
  }
  if (m_is_retired || m_now < m_withheld_until) return;
  const bool is_vacant = m_leader.address.empty();
  if (is_vacant && version != 0 && m_leader.successor == m_address) return Campaign();
  const Duration unchanged = sent_at - m_version_seen_at;
  const Duration class_delay = ClassDelay();
  if (is_vacant && version == 0 && (class_delay == Duration::zero() || unchanged >= class_delay)) return Campaign();
  // A row with the address of this instance was left by an earlier process at the same address.
  if (m_leader.address == m_address && class_delay == Duration::zero()) return Campaign();
  const Duration needed =
      is_vacant ? kSuccessorHeadStart : (m_is_connection_refused ? kRefusedElectionTimeout : kElectionTimeout);
  if (unchanged >= needed + m_rank_delay + class_delay) Campaign();
}

Duration LeaderElection::ClassDelay() const {
  const int classes_above = static_cast<int>(m_fittest_class) - static_cast<int>(m_class);
  return kClassDelay * std::max(0, classes_above);
}

void LeaderElection::Campaign() {
  m_is_campaigning = true;
  const bool is_other_named = m_leader.address.empty() && m_leader.successor != m_address;
  m_passed_over_successor = is_other_named ? m_leader.successor : "";
  LeaderRecord record;
  record.epoch = m_leader.epoch + 1;
  record.address = m_address;
  record.unready_terms = m_leader.unready_terms;
  StateTransaction transaction;
  transaction.guard_table = kLeaderTable;
  transaction.guard_key = kLeaderKey;
  transaction.guard_version = *m_version;
  transaction.writes.push_back(StateWrite{kLeaderTable, kLeaderKey, EncodeLeaderRecord(record)});
  m_store.Commit(transaction, [this, record](const StateCommitReply& reply) {
    m_is_campaigning = false;
    if (reply.status == StateStatus::kDone) {
      m_is_leader = true;
      m_leader = record;
      return m_on_elected(record, reply.version);
    }
    // An attempt without a reply may still win. The next read then shows the row with this address, which nobody
    // rewrites, so it times out and is taken over like that of any other leader.
    m_version.reset();
    m_next_read = m_now;
  });
}

}  // namespace jaymast
