#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "base/time.h"
#include "cell/leader_record.h"
#include "cell/state_store.h"

namespace jaymast {

/// Writes for the next transaction.
struct CommitBatch {
  std::vector<StateWrite> writes;
  std::function<void()> on_committed;  ///< called after the writes are known to be committed
};

/// Commits the leader's writes in batches, one transaction at a time, each guarded by the version of the leader row.
///
/// A transaction without a reply is sent again unchanged, at once if the store has replied to another call after a
/// silence. All copies carry the same condition and the same writes, so at most one of them takes effect, and it does
/// not matter which.
class GroupCommitter {
 public:
  /// Returns the next batch, which may be empty.
  using BatchSource = std::function<CommitBatch()>;

  /// @param record the leader row as written by the takeover; `guard_version` is its version
  /// @param on_deposed called when another leader has written the leader row; no transaction is sent from then on
  /// @param request_tick called when a reply has arrived, which the next tick handles
  GroupCommitter(StateStore& store, LeaderRecord record, std::int64_t guard_version, BatchSource collect,
                 std::function<void()> on_deposed, std::function<void()> request_tick);

  /// Requests a transaction at the next opportunity.
  void MarkDirty() { m_is_dirty = true; }

  /// Sends the next transaction if one is due.
  void OnTick(Time now);

  /// Sets the count of the leader row from the next transaction on.
  void SetUnreadyTerms(std::int64_t count) { m_unready_terms = count; }
  std::int64_t unready_terms() const { return m_unready_terms; }

  /// Writes the leader row without an address after all pending writes, so that the successor need not wait.
  void HandOver(std::string successor);

  bool is_handed_over() const { return m_is_handed_over; }
  std::uint64_t epoch() const { return m_record.epoch; }
  /// The leader row as of the last transaction that is known to have taken effect.
  const LeaderRecord& committed_record() const { return m_committed_record; }
  std::int64_t committed_version() const { return m_guard_version; }

  /// When the last transaction that took effect was sent: no other leader existed at that time.
  Time confirmed_at() const { return m_confirmed_at; }
  /// Whether the store has not replied or has refused transactions for longer than `bound`.
  bool IsStalled(Time now, Duration bound) const { return m_failing_since && now - *m_failing_since > bound; }
  /// Store clock at `now` in ms, extrapolated from the last reply.
  std::int64_t store_now_ms(Time now) const { return m_store_now_ms + ToMillis(now - m_store_now_at); }
  /// Latest possible store clock at `now` in ms.
  std::int64_t max_store_now_ms(Time now) const { return m_store_now_ms + ToMillis(now - m_store_now_sent_at); }

 private:
  struct Reply {
    StateCommitReply reply;
    Time sent_at{};  ///< of the copy that it replies to
  };

  void Send(Time now);
  void OnCopyReply(std::uint64_t attempt, Time sent_at, const StateCommitReply& reply);
  void OnReply(const Reply& received);
  void OnCommitted(std::int64_t version);

  StateStore& m_store;
  LeaderRecord m_record;            ///< as of the last transaction sent
  LeaderRecord m_committed_record;  ///< as of the last transaction that took effect
  std::int64_t m_guard_version;
  std::int64_t m_unready_terms;
  const BatchSource m_collect;
  const std::function<void()> m_on_deposed;
  const std::function<void()> m_request_tick;
  std::optional<StateTransaction> m_transaction;  ///< sent and not known to have taken effect
  std::function<void()> m_on_committed;
  bool m_in_flight = false;
  bool m_is_dirty = true;
  bool m_is_deposed = false;
  bool m_wants_handover = false;
  bool m_is_handover_sent = false;
  bool m_is_handed_over = false;
  std::string m_successor;
  std::uint64_t m_attempt = 0;
  std::uint64_t m_first_attempt = 0;   ///< of the present transaction
  std::uint64_t m_ended_silences = 0;  ///< of the store when the last copy was sent
  std::optional<Reply> m_reply;        ///< handled by the next tick, as the process may have been paused
  Time m_now{};
  Time m_sent_at{};
  Time m_first_sent_at{};
  Time m_next_send{};
  Time m_confirmed_at{};
  std::optional<Time> m_failing_since;
  std::int64_t m_store_now_ms = 0;
  Time m_store_now_at{};
  Time m_store_now_sent_at{};  ///< when the transaction was sent whose reply gave the store clock
};

}  // namespace jaymast
