#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/enum_names.h"
#include "jobs/job_spec.h"

namespace jaymast {

inline constexpr const char* kRecordTable = "records";

enum class RecordKind {
  kJob,         ///< queue, organisation and specification of the job
  kProgress,    ///< state that changes while the job is active
  kFinal,       ///< replaces both after the job has ended
  kTombstone,   ///< the job was dropped; hides older records until their rows are removed
  kOccurrence,  ///< progress of one occurrence of a scheduled job
};

template <>
struct EnumNames<RecordKind> {
  static constexpr std::array<std::string_view, 5> kNames = {"job", "progress", "final", "gone", "occurrence"};
};

/// Names one record of a job. A later record with the same name supersedes it.
struct RecordName {
  RecordKind kind = RecordKind::kJob;
  std::size_t occurrence = 0;  ///< number of the occurrence, 0 for the other kinds

  // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the zero in the generated comparison for a pointer
  friend auto operator<=>(const RecordName&, const RecordName&) = default;
  friend bool operator==(const RecordName&, const RecordName&) = default;
};

/// One line of a log row: a record, or one piece of a record that is longer than a row.
struct LogRecord {
  JobId job;
  RecordName name;
  std::size_t piece = 0;  ///< position of the piece in its record
  std::string text;       ///< without line breaks
};

/// Text of a record, assembled from its pieces in the order of the log.
struct RecordText {
  std::string text;
  std::size_t pieces = 0;

  /// Adds the next piece. The first piece of a later record replaces the earlier one. A piece that does not continue
  /// the record belongs to a superseded one, whose first row has been removed, and is ignored.
  void Add(std::size_t piece, std::string_view piece_text);
};

/// Encodes a record as one line of a row: "JOB KIND TEXT", where KIND is followed by ":OCCURRENCE" for an occurrence,
/// and by "+PIECE" for all pieces except the first.
std::string EncodeLogRecord(const JobId& job, const RecordName& name, std::size_t piece, std::string_view text);

/// Decodes all lines of a row.
/// @return the records, or nothing if a line is malformed
std::optional<std::vector<LogRecord>> DecodeLogRow(std::string_view text);

}  // namespace jaymast
