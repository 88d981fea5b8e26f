#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/enum_names.h"
#include "jobs/job_spec.h"

namespace jaymast {

inline constexpr const char* kRecordTable = "records";

enum class RecordKind {
  kJob,        ///< queue, organisation and specification of the job
  kProgress,   ///< state that changes while the job is active
  kFinal,      ///< replaces both after the job has ended
  kTombstone,  ///< the job was dropped; hides older records until their rows are removed
};

template <>
struct EnumNames<RecordKind> {
  static constexpr std::array<std::string_view, 4> kNames = {"job", "progress", "final", "gone"};
};

/// One record of a log row.
struct LogRecord {
  JobId job;
  RecordKind kind = RecordKind::kJob;
  std::string text;  ///< without line breaks
};

/// Encodes a record as one line of a row: "JOB KIND TEXT".
std::string EncodeLogRecord(const JobId& job, RecordKind kind, std::string_view text);

/// Decodes all lines of a row.
/// @return the records, or nothing if a line is malformed
std::optional<std::vector<LogRecord>> DecodeLogRow(std::string_view text);

}  // namespace jaymast
