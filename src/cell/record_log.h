#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cell/log_record.h"
#include "cell/state_store.h"

namespace jaymast {

/// Packs the records of many jobs into few rows, as a transaction takes a bounded number of rows.
///
/// Each put appends to the newest row and supersedes the earlier record of the job. A row without a record that counts
/// is removed. Rows with little left in them are emptied by putting what counts again, so that a successor reads a
/// bounded multiple of what it needs.
///
/// Readers take the last record of each kind. So the final record of a job stays until all earlier records of the job
/// are gone, or the job would come back to life.
class RecordLog {
 public:
  struct RecordRef {
    JobId job;
    RecordKind kind = RecordKind::kJob;
  };

  /// Takes over a row of an earlier leader. Rows come in ascending order of their keys.
  void AddLoadedRow(const StateRow& row, const std::vector<LogRecord>& records);

  void Put(const JobId& job, RecordKind kind, std::string_view text);

  /// The job need not be shown any more, so its final record may go.
  void Forget(const JobId& job);

  /// Records to be put again with the next writes, so that rows can be removed; empty while the rows are well filled.
  std::vector<RecordRef> RecordsToCompact() const;

  /// Rows written since the last call, and removals of rows without a record that counts.
  std::vector<StateWrite> TakeWrites();

  /// Bytes put since the last TakeWrites.
  std::size_t pending_bytes() const { return m_pending_bytes; }
  std::size_t rows() const { return m_rows.size(); }

 private:
  struct Row {
    std::vector<JobId> mentions;  ///< jobs with a record in the row, once for each record
    std::size_t live = 0;         ///< records that are not superseded
    std::size_t live_bytes = 0;
  };
  /// Position of a record that counts.
  struct RecordPosition {
    std::int64_t row = 0;  ///< 0 if there is none
    std::size_t bytes = 0;
  };
  struct JobRecords {
    RecordPosition job;  ///< kJob, kFinal or kGone
    RecordPosition progress;
    RecordKind job_kind = RecordKind::kJob;
    int mentions = 0;  ///< records in all rows that exist, superseded ones too
  };

  void AddToIndex(const JobId& job, RecordKind kind, std::int64_t row, std::size_t bytes);
  void Supersede(RecordPosition& position);
  /// Drops the last record of a job that is gone, once nothing older is left.
  void DropTombstoneIfLast(JobRecords& job_records);

  std::map<std::int64_t, Row> m_rows;
  std::unordered_map<JobId, JobRecords> m_job_records;
  std::map<std::int64_t, std::string> m_pending_rows;  ///< text of the rows that the next transaction writes
  std::set<std::int64_t> m_dead_rows;                  ///< rows without a record that counts
  std::size_t m_pending_bytes = 0;
  std::size_t m_live_bytes = 0;
  std::int64_t m_next_row = 1;
};

}  // namespace jaymast
