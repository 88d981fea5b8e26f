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

/// Returns the key prefix of the journal rows of an entry.
std::string JournalPrefix(const EntryId& home);

/// Writes task records to the table once per `journal_interval`, in batches of one row each.
class TaskJournal {
 public:
  using Done = std::function<void(CommitOutcome)>;

  TaskJournal(Context& context, TableClient& table, const Membership& membership);

  void Start();

  /// Adds a record to the next batch.
  /// @param insert row written in the same transaction; must not exist yet, else the outcome is kConflict
  void Append(JournalRecord record, std::optional<Write> insert, Done done);

  /// Registers a row written by another entry, so that it is deleted once all its tasks are removed.
  void AddRow(const std::string& key, const std::vector<JournalRecord>& records);

  /// Removes a task. Rows that hold no other task are deleted with the next batch.
  /// @param extra_row key of another row to delete, or empty
  void Remove(const TaskId& task, const std::string& extra_row);

  /// Whether no record is waiting or being written.
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
  void AddTaskToRow(const std::string& key, const TaskId& task);

  Context& m_context;
  TableClient& m_table;
  const Membership& m_membership;
  std::vector<Pending> m_pending;
  std::map<std::string, std::set<TaskId>> m_tasks_by_row;
  std::map<TaskId, std::set<std::string>> m_rows_by_task;
  std::vector<std::string> m_rows_to_delete;
  std::uint64_t m_next_row = 1;
  int m_open_writes = 0;
};

}  // namespace jaymast
