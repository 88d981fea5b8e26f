#pragma once

#include <array>
#include <boost/json/fwd.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/enum_names.h"
#include "base/result.h"
#include "core/upstream_protocol.h"
#include "tasks/home_task.h"

namespace jaymast {

/// State change of a task. The comments list the fields of JournalRecord that are set besides `id`.
enum class JournalRecordKind {
  kAccepted,  ///< spec
  kClaimed,   ///< owner, upstream, domain, epoch
  kReleased,  ///< checkpoint; the claimed attempt has ended, and the task is queued again and resumes from it
  kEnded,     ///< end
  kRemoved,   ///< the task has ended and its outcome is not kept any more
};

template <>
struct EnumNames<JournalRecordKind> {
  static constexpr std::array<std::string_view, 5> kNames = {"accepted", "claimed", "released", "ended", "removed"};
};

/// One state change of a task. Records of a task are replayed in the order of their row versions.
struct JournalRecord {
  JournalRecordKind kind = JournalRecordKind::kAccepted;
  AttemptId id;
  TaskSpec spec;
  EntryId owner;
  UpstreamId upstream;
  DomainId domain;
  std::int64_t epoch = 0;
  std::string checkpoint;
  TaskEnd end;
};

std::string EncodeRecords(const std::vector<JournalRecord>& records);

/// @return the records, or an error with the path of an invalid field
Result<std::vector<JournalRecord>> DecodeRecords(const std::string& text);

}  // namespace jaymast
