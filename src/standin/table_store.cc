#include "standin/table_store.h"

#include <algorithm>

namespace jaymast {

bool TableStore::ConditionsHold(const Transaction& transaction) const {
  return std::all_of(transaction.conditions.begin(), transaction.conditions.end(), [this](const Condition& condition) {
    const auto row = m_rows.find(condition.key);
    const std::int64_t version = row == m_rows.end() ? 0 : row->second.version;
    return version == condition.version;
  });
}

void TableStore::Apply(const Transaction& transaction) {
  ++m_version;
  for (const Write& write : transaction.writes) {
    if (write.value) {
      m_rows[write.key] = Row{write.key, *write.value, m_version};
    } else {
      m_rows.erase(write.key);
    }
  }
}

CommitReply TableStore::Commit(const Transaction& transaction) {
  const auto known = m_transactions.find(transaction.id);
  if (known != m_transactions.end()) return known->second;
  CommitReply reply{CommitStatus::kConflict, 0};
  if (ConditionsHold(transaction)) {
    Apply(transaction);
    reply = CommitReply{CommitStatus::kCommitted, m_version};
  }
  m_transactions[transaction.id] = reply;
  return reply;
}

ReadReply TableStore::Read(const ReadRequest& request) const {
  std::map<std::string, Row> found;
  for (const std::string& key : request.keys) {
    const auto row = m_rows.find(key);
    if (row != m_rows.end()) found.insert(*row);
  }
  for (const std::string& prefix : request.prefixes) {
    for (auto row = m_rows.lower_bound(prefix); row != m_rows.end() && row->first.starts_with(prefix); ++row) {
      found.insert(*row);
    }
  }
  ReadReply reply;
  reply.available = true;
  for (auto& [key, row] : found) reply.rows.push_back(std::move(row));
  return reply;
}

LookupReply TableStore::Lookup(const TransactionId& id) {
  const auto [entry, inserted] = m_transactions.try_emplace(id, CommitReply{CommitStatus::kConflict, 0});
  if (entry->second.status != CommitStatus::kCommitted) return LookupReply{LookupStatus::kAbsent, 0};
  return LookupReply{LookupStatus::kCommitted, entry->second.version};
}

}  // namespace jaymast
