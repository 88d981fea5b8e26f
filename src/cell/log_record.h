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
  kJob,        ///< queue, organisation and specification
  kProgress,   ///< what changes while the job is open
  kFinal,      ///< replaces both at the end
  kTombstone,  ///< the job is forgotten; hides older records until their rows are removed
};

template <>
struct EnumNames<RecordKind> {
  static constexpr std::array<std::string_view, 4> kNames = {"job", "progress", "final", "gone"};
};

/// One record in a row of the log.
struct LogRecord {
  JobId job;
  RecordKind kind = RecordKind::kJob;
  std::string text;  ///< without line breaks
};

/// One line of a row: "JOB KIND TEXT".
std::string EncodeLogRecord(const JobId& job, RecordKind kind, std::string_view text);

/// Reads all lines of a row.
/// @return the records, or nothing when a line does not have the form of EncodeLogRecord
std::optional<std::vector<LogRecord>> DecodeLogRow(std::string_view text);

}  // namespace jaymast
