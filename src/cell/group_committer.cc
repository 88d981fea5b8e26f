#include "cell/group_committer.h"

#include <utility>

namespace jaymast {
namespace {

/// Shortest time between two transactions with changes, which groups the changes of a burst.
constexpr Duration kBatchInterval{10'000};
/// Longest time between two transactions. One without changes shows the followers that the leader is alive; well below
/// the election timeout.
constexpr Duration kIdleCommitInterval{250'000};
/// Delay before a refused transaction, or one without a reply, is sent again.
constexpr Duration kRetryDelay{40'000};
/// A reply that takes longer counts as an outage of the store.
constexpr Duration kSlowReplyBound{400'000};

}  // namespace

GroupCommitter::GroupCommitter(StateStore& store, LeaderRecord record, std::int64_t guard_version, BatchSource collect,
                               std::function<void()> on_deposed, std::function<void()> request_tick)
    : m_store(store),
      m_record(std::move(record)),
      m_committed_record(m_record),
      m_guard_version(guard_version),
      m_unready_terms(m_record.unready_terms),
      m_collect(std::move(collect)),
      m_on_deposed(std::move(on_deposed)),
      m_request_tick(std::move(request_tick)) {}

void GroupCommitter::HandOver(std::string successor) {
  m_wants_handover = true;
  m_successor = std::move(successor);
}

void GroupCommitter::OnTick(Time now) {
  m_now = now;
  if (m_is_deposed || m_is_handed_over) return;
  if (m_reply) {
    const Reply received = *std::exchange(m_reply, std::nullopt);
    OnReply(received);
    if (m_is_deposed || m_is_handed_over) return;
  }
  if (m_in_flight) {
    if (now - m_sent_at > kSlowReplyBound && !m_failing_since) m_failing_since = m_sent_at;
    if (m_store.contact().ended_silences() != m_ended_silences) Send(now);
    return;
  }
  if (now < m_next_send) return;
  if (m_transaction) return Send(now);
  const bool is_handover = m_wants_handover && !m_is_dirty;
  if (!m_is_dirty && !is_handover && now - m_sent_at < kIdleCommitInterval) return;
  m_is_dirty = false;
  StateTransaction transaction;
  transaction.guard_table = kLeaderTable;
  transaction.guard_key = kLeaderKey;
  transaction.guard_version = m_guard_version;
  CommitBatch batch;
  if (!is_handover) batch = m_collect();
  m_is_handover_sent = is_handover;
  LeaderRecord record = m_record;
  ++record.sequence;
  record.unready_terms = m_unready_terms;
  if (is_handover) {
    record.address.clear();
    record.successor = m_successor;
  }
  transaction.writes = std::move(batch.writes);
  transaction.writes.push_back(StateWrite{kLeaderTable, kLeaderKey, EncodeLeaderRecord(record)});
  m_record = std::move(record);
  m_transaction = std::move(transaction);
  m_on_committed = std::move(batch.on_committed);
  m_first_sent_at = now;
  m_first_attempt = m_attempt + 1;
  Send(now);
}

void GroupCommitter::Send(Time now) {
  m_in_flight = true;
  m_sent_at = now;
  m_ended_silences = m_store.contact().ended_silences();
  m_store.Commit(*m_transaction, [this, attempt = ++m_attempt, now](const StateCommitReply& reply) {
    OnCopyReply(attempt, now, reply);
  });
}

void GroupCommitter::OnCopyReply(std::uint64_t attempt, Time sent_at, const StateCommitReply& reply) {
  if (!m_in_flight || attempt < m_first_attempt) return;
  const bool is_settled = reply.status == StateStatus::kDone || reply.status == StateStatus::kConflict;
  // A later copy is still open.
  if (attempt != m_attempt && !is_settled) return;
  m_reply = {reply, sent_at};
  m_request_tick();
}

void GroupCommitter::OnReply(const Reply& received) {
  const StateCommitReply& reply = received.reply;
  m_in_flight = false;
  if (reply.now_ms > 0) {
    m_store_now_ms = reply.now_ms;
    m_store_now_at = m_now;
    m_store_now_sent_at = received.sent_at;
  }
  switch (reply.status) {
    case StateStatus::kDone:
      return OnCommitted(reply.version);
    case StateStatus::kConflict: {
      const std::optional<LeaderRecord> current = DecodeLeaderRecord(reply.guard.value);
      // An earlier copy of the same transaction has taken effect.
      if (current && *current == m_record) return OnCommitted(reply.guard.version);
      m_is_deposed = true;
      return m_on_deposed();
    }
    case StateStatus::kRefused:
    case StateStatus::kUnknown:
      if (!m_failing_since) m_failing_since = m_sent_at;
      m_next_send = m_now + kRetryDelay;
      return;
  }
}

void GroupCommitter::OnCommitted(std::int64_t version) {
  m_guard_version = version;
  m_committed_record = m_record;
  // The transaction may have taken effect as early as its first copy was sent.
  m_confirmed_at = m_first_sent_at;
  m_failing_since.reset();
  m_next_send = m_first_sent_at + kBatchInterval;
  m_transaction.reset();
  if (m_is_handover_sent) m_is_handed_over = true;
  const auto on_committed = std::exchange(m_on_committed, nullptr);
  if (on_committed) on_committed();
}

}  // namespace jaymast
