#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"
#include "model/table_codec.h"
#include "standin/rate_cap.h"
#include "standin/table_faults.h"
#include "standin/table_store.h"

namespace jaymast {

/// The fake table service without sockets: the store behind its budgets and faults.
class TableService {
 public:
  /// HTTP status and JSON body of an answer.
  struct Answer {
    int status = 0;
    std::string body;
  };

  /// @param reads_per_second budget of reads and lookups; 0 is unlimited
  /// @param writes_per_second budget of transactions; 0 is unlimited
  TableService(std::int64_t reads_per_second, std::int64_t writes_per_second)
      : m_reads(reads_per_second), m_writes(writes_per_second) {}

  /// Executes one call. A call over the budget is answered as busy (429) and has no effect.
  /// @return the answer, or nothing when a fault prevents it
  std::optional<Answer> Handle(const HttpCall& call, Time now);

  void SetFaults(const TableFaults& faults) { m_faults = faults; }
  const TableFaults& faults() const { return m_faults; }
  TableStore& store() { return m_store; }

 private:
  Answer Execute(const Transaction& transaction, Time now);
  Answer Execute(const ReadRequest& request, Time now);
  Answer Execute(const LookupRequest& request, Time now);

  TableStore m_store;
  TableFaults m_faults;
  RateCap m_reads;
  RateCap m_writes;
};

}  // namespace jaymast
