#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cell/page_sizer.h"
#include "cell/store_contact.h"

namespace jaymast {

/// A row of the cell's partition. Versions come from one counter that each transaction increments.
struct StateRow {
  std::string table;
  std::string key;
  std::string value;
  std::int64_t version = 0;
};

/// Writes a value, or deletes the row if the value is absent.
struct StateWrite {
  std::string table;
  std::string key;
  std::optional<std::string> value;
};

/// Writes that take effect atomically if the guard row has the given version; version 0 means that it is absent.
struct StateTransaction {
  std::string guard_table;
  std::string guard_key;
  std::int64_t guard_version = 0;
  std::vector<StateWrite> writes;
};

enum class StateStatus {
  kDone,
  kConflict,  ///< the guard row has another version; nothing was written
  kRefused,   ///< nothing was written
  kUnknown,   ///< may have been written, or may be written later while its condition holds
};

struct StateCommitReply {
  StateStatus status = StateStatus::kUnknown;
  std::int64_t version = 0;
  std::int64_t now_ms = 0;  ///< steady clock of the store
  StateRow guard;           ///< current guard row after a conflict
};

struct StateScanReply {
  bool is_available = false;
  bool has_more = false;
  std::vector<StateRow> rows;  ///< by ascending key
  std::int64_t version = 0;
  std::int64_t now_ms = 0;
};

/// Stores the rows of the cell durably. Callbacks are never called from inside the call that registered them.
class StateStore {
 public:
  virtual ~StateStore() = default;

  virtual void Commit(const StateTransaction& transaction, std::function<void(StateCommitReply)> done) = 0;

  /// Reads a page of the rows with keys of at least `from` and, unless it is empty, below `to`.
  virtual void Scan(const std::string& table, const std::string& from, const std::string& to, const PageLimits& limits,
                    std::function<void(StateScanReply)> done) = 0;

  /// Whether this instance hears from the store, over all its calls.
  virtual const StoreContact& contact() = 0;
};

}  // namespace jaymast
