#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/enum_names.h"
#include "base/id.h"

namespace jaymast {

/// One row of the table service, the transactional store that all entries share. Errors, lifecycle events and views
/// call the service "store". The version of a row is the number of the transaction that wrote it.
struct Row {
  std::string key;
  std::string value;
  std::int64_t version = 0;
};

/// Requires a row to have the given version, or to be absent for version 0.
struct Condition {
  std::string key;
  std::int64_t version = 0;
};

/// Writes a row, or deletes it when `value` is absent.
struct Write {
  std::string key;
  std::optional<std::string> value;
};

/// Writes that take effect atomically if all conditions hold.
struct Transaction {
  TransactionId id;
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

enum class CommitStatus {
  kCommitted,
  kConflict,  ///< a condition did not hold; nothing was written
  kNotSent,   ///< nothing was written
  kUnknown,   ///< may have been written
};

template <>
struct EnumNames<CommitStatus> {
  static constexpr std::array<std::string_view, 4> kNames = {"committed", "conflict", "not_sent", "unknown"};
};

struct CommitReply {
  CommitStatus status = CommitStatus::kUnknown;
  std::int64_t version = 0;  ///< version of the written rows when committed
};

struct ReadRequest {
  std::vector<std::string> keys;
  std::vector<std::string> prefixes;
};

struct ReadReply {
  bool available = false;
  std::vector<Row> rows;  ///< ordered by key
};

enum class LookupStatus {
  kCommitted,
  kAbsent,  ///< has not committed and cannot: the lookup marked the id as aborted
  kUnavailable,
};

template <>
struct EnumNames<LookupStatus> {
  static constexpr std::array<std::string_view, 3> kNames = {"committed", "absent", "unavailable"};
};

struct LookupReply {
  LookupStatus status = LookupStatus::kUnavailable;
  std::int64_t version = 0;
};

}  // namespace jaymast
