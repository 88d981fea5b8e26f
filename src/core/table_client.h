#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "base/time.h"
#include "core/context.h"
#include "core/table.h"

namespace jaymast {

/// Final result of a transaction.
enum class CommitOutcome {
  kCommitted,
  kConflict,
  kUnavailable,  ///< certainly not written, and it never will be
};

template <>
struct EnumNames<CommitOutcome> {
  static constexpr std::array<std::string_view, 3> kNames = {"committed", "conflict", "unavailable"};
};

/// Table access for the slices: resolves lost answers by the transaction id and keeps to the write budget.
class TableClient {
 public:
  using CommitDone = std::function<void(CommitOutcome outcome, std::int64_t version)>;
  using ReadDone = std::function<void(const ReadReply& reply)>;

  explicit TableClient(Context& context);

  /// Commits a transaction. When the answer is lost, `done` waits until a lookup tells what happened.
  /// @param on_unknown called each time that an answer is lost, if set
  void Commit(std::vector<Condition> conditions, std::vector<Write> writes, CommitDone done,
              std::function<void()> on_unknown = nullptr);

  void Read(const ReadRequest& request, ReadDone done);

  /// Takes one write from the budget.
  /// @return false when the budget of this moment is used up
  bool TakeWriteBudget();

  /// Whether the last answered or failed call was answered.
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
