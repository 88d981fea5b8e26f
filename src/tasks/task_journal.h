#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/context.h"
#include "core/table.h"
#include "core/table_client.h"
#include "tasks/journal_record.h"

namespace jaymast {

class Membership;

/// Prefix of the journal rows of an entry.
std::string JournalPrefix(const EntryId& home);

/// Writes task records in batches: one row for all records of a flush interval.
class TaskJournal {
 public:
  using Done = std::function<void(CommitOutcome)>;

  TaskJournal(Context& context, TableClient& table, const Membership& membership);

  void Start();

  /// Adds a record to the next batch.
  /// @param insert a row that must be absent, written together with the record; kConflict when it exists
  void Append(JournalRecord record, std::optional<Write> insert, Done done);

  /// Registers a row that another entry wrote, so that it is deleted once its tasks are forgotten.
  void AddRow(const std::string& key, const std::vector<JournalRecord>& records);

  /// The records of a task are not needed any more. Its rows are deleted when they hold no other task.
  /// @param extra_row a further row to delete, or empty
  void Forget(const TaskId& task, const std::string& extra_row);

  /// Whether no record waits or is being written.
  bool IsIdle() const { return m_pending.empty() && m_open_writes == 0; }

 private:
  struct Pending {
    JournalRecord record;
    std::optional<Write> insert;
    Done done;
  };
  using Batch = std::vector<Pending>;

  void Flush();
  Batch TakeBatch();
  void WriteBatch(Batch batch);
  void OnConflict(Batch batch);
  void Register(const std::string& key, const TaskId& task);

  Context& m_context;
  TableClient& m_table;
  const Membership& m_membership;
  std::vector<Pending> m_pending;
  std::map<std::string, std::set<TaskId>> m_rows;
  std::map<TaskId, std::set<std::string>> m_rows_of_task;
  std::vector<std::string> m_deletable;
  std::uint64_t m_next_row = 1;
  int m_open_writes = 0;
};

}  // namespace jaymast
