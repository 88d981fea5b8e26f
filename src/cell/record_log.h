#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cell/log_record.h"
#include "cell/state_store.h"
#include "jobs/job.h"

namespace jaymast {

/// Packs the records of many jobs into few rows, as a transaction takes a bounded number of rows.
///
/// Each put appends to the newest row and supersedes the earlier record of the job. A row without live records is
/// removed. Sparse rows are compacted by putting their live records again, so that a successor reads a bounded multiple
/// of the live records.
///
/// Readers take the last record of each kind. The final record of a job therefore stays until all earlier records of
/// the job are removed; otherwise a successor would treat an ended job as active.
class RecordLog {
 public:
  struct RecordRef {
    JobId job;
    RecordName name;
  };

  /// Adds a row of an earlier leader. Rows must come in ascending order of their keys.
  void AddLoadedRow(const StateRow& row, const std::vector<LogRecord>& records);

  /// Appends a record, in several pieces if it is longer than a row. `text` must not contain line breaks.
  void Put(const JobId& job, const RecordName& name, std::string_view text);

  /// Drops the record of an occurrence that the progress record of its job does not give as open any more.
  void DropOccurrence(const JobId& job, std::size_t occurrence);

  /// Drops the records of all occurrences of a job but the open ones, after loading.
  void RetainOccurrences(const JobId& job, const std::map<std::size_t, Occurrence>& open);

  /// Allows the final record of the job to be removed.
  void Forget(const JobId& job);

  /// Live records that the caller must put again, so that a sparse row can be removed; empty while no row is sparse.
  std::vector<RecordRef> RecordsToCompact() const;

  /// Returns the rows written since the last call and the removals of rows without live records.
  std::vector<StateWrite> TakeWrites();

  /// Bytes put since the last TakeWrites().
  std::size_t pending_bytes() const { return m_pending_bytes; }
  std::size_t rows() const { return m_rows.size(); }

 private:
  struct Row {
    std::vector<JobId> mentions;  ///< jobs with a record in the row, once for each record
    std::size_t live = 0;         ///< records that are not superseded
    std::size_t live_bytes = 0;
  };
  /// Position of one piece of a live record.
  struct PiecePosition {
    std::int64_t row = 0;
    std::size_t bytes = 0;
  };
  /// Positions of the pieces of a live record, empty if there is none.
  using RecordPosition = std::vector<PiecePosition>;
  struct JobRecords {
    RecordPosition job;  ///< kJob, kFinal or kTombstone
    RecordPosition progress;
    std::map<std::size_t, RecordPosition> occurrences;
    RecordKind job_kind = RecordKind::kJob;
    int mentions = 0;  ///< pieces in all existing rows, superseded ones too
  };

  /// Text of the row that takes the next piece, a new one if the newest lacks space for `bytes`.
  std::pair<const std::int64_t, std::string>& RowWithSpace(std::size_t bytes);
  void AddToIndex(const JobId& job, const RecordName& name, std::size_t piece, std::int64_t row, std::size_t bytes);
  void Supersede(RecordPosition& position);
  /// Supersedes the tombstone of a job when no older record of the job is left.
  void DropTombstoneIfLast(JobRecords& job_records);

  std::map<std::int64_t, Row> m_rows;
  std::unordered_map<JobId, JobRecords> m_job_records;
  std::map<std::int64_t, std::string> m_pending_rows;  ///< text of the rows that the next transaction writes
  std::set<std::int64_t> m_dead_rows;                  ///< rows without live records
  std::size_t m_pending_bytes = 0;
  std::size_t m_live_bytes = 0;
  std::int64_t m_next_row = 1;
};

}  // namespace jaymast
