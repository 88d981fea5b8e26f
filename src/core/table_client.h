#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "base/time.h"
#include "core/context.h"
#include "core/table.h"

namespace jaymast {

/// Final outcome of a transaction, known after a lookup if the reply was lost.
enum class CommitOutcome {
  kCommitted,
  kConflict,
  kUnavailable,  ///< nothing was written, and nothing will be
};

template <>
struct EnumNames<CommitOutcome> {
  static constexpr std::array<std::string_view, 3> kNames = {"committed", "conflict", "unavailable"};
};

/// Accesses the table service: looks up transactions whose reply was lost, and limits the write rate.
class TableClient {
 public:
  using CommitDone = std::function<void(CommitOutcome outcome, std::int64_t version)>;
  using ReadDone = std::function<void(const ReadReply& reply)>;

  explicit TableClient(Context& context);

  /// Commits a transaction. If the reply is lost, `done` is called when a lookup by the transaction id succeeds.
  /// @param on_unknown called when the reply to the commit is lost, and each time that a lookup fails, if set
  void Commit(std::vector<Condition> conditions, std::vector<Write> writes, CommitDone done,
              std::function<void()> on_unknown = nullptr);

  void Read(const ReadRequest& request, ReadDone done);

  /// Consumes one write of the write budget.
  /// @return false when the budget is exhausted
  bool TakeWriteBudget();

  /// Whether the last completed call got a reply.
  bool IsReachable() const { return m_reachable; }

 private:
  void ResolveOutcome(const TransactionId& id, Duration delay, CommitDone done, std::function<void()> on_unknown);

  Context& m_context;
  std::uint64_t m_next_transaction = 1;
  bool m_reachable = true;
  double m_write_budget = 0;
  Time m_write_budget_updated_at;
};

}  // namespace jaymast
