#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "core/table.h"

namespace jaymast {

/// State of the fake table service: rows, versions and the fate of each transaction id.
class TableStore {
 public:
  CommitReply Commit(const Transaction& transaction);
  ReadReply Read(const ReadRequest& request) const;

  /// Tells whether a transaction committed. An unknown id is reserved as aborted.
  LookupReply Lookup(const TransactionId& id);

  const std::map<std::string, Row>& rows() const { return m_rows; }

 private:
  bool ConditionsHold(const Transaction& transaction) const;
  void Apply(const Transaction& transaction);

  std::map<std::string, Row> m_rows;
  std::unordered_map<TransactionId, CommitReply> m_transactions;
  std::int64_t m_version = 0;
};

}  // namespace jaymast
