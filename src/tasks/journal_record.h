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

enum class JournalRecordKind {
  kAccepted,  ///< spec
  kClaimed,   ///< attempt, upstream, domain, epoch, owner
  kReleased,  ///< the claimed attempt has ended; the task is queued again and resumes from the checkpoint
  kEnded,     ///< end
};

template <>
struct EnumNames<JournalRecordKind> {
  static constexpr std::array<std::string_view, 4> kNames = {"accepted", "claimed", "released", "ended"};
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
Result<std::vector<JournalRecord>> DecodeRecords(const std::string& text);

}  // namespace jaymast
