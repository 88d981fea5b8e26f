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

/// One row of the table service. A version is the number of the transaction that wrote the row.
struct Row {
  std::string key;
  std::string value;
  std::int64_t version = 0;
};

/// Requires a row to have a version. Version 0 means that the row is absent.
struct Condition {
  std::string key;
  std::int64_t version = 0;
};

/// Puts a value, or deletes the row when the value is absent.
struct Write {
  std::string key;
  std::optional<std::string> value;
};

/// Writes that take effect together if all conditions hold.
struct Transaction {
  TransactionId id;
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

enum class CommitStatus {
  kCommitted,
  kConflict,  ///< a condition did not hold; nothing was written
  kNotSent,   ///< certainly not written
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
  kAbsent,  ///< did not commit, and never will: the lookup reserved the id as aborted
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
