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

  /// Removes an ended task. Rows that hold no other task are deleted with the next batch. If other rows of the task are
  /// kept, a record of its removal is written: an adopter that read a claim without its end would run the task again.
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
  void DeleteRow(const std::string& key);

  /// Removed tasks, each with the rows that still name it, and the row that records their removal.
  struct Removals {
    std::string key;
    std::map<TaskId, std::set<std::string>> tasks;
  };
  /// Row with the removals that are not recorded yet, if there are any.
  std::optional<Write> TakeRemovals(Removals& removals);
  void OnRemovalsNotWritten(const Removals& removals);

  Context& m_context;
  TableClient& m_table;
  const Membership& m_membership;
  std::vector<Pending> m_pending;
  std::map<std::string, std::set<TaskId>> m_tasks_by_row;
  std::map<TaskId, std::set<std::string>> m_rows_by_task;
  std::map<TaskId, std::set<std::string>> m_unwritten_removals;
  /// Rows that record removals, each with the rows that name one of the removed tasks.
  std::map<std::string, std::set<std::string>> m_removal_rows;
  std::vector<std::string> m_rows_to_delete;
  std::uint64_t m_next_row = 1;
  int m_open_writes = 0;
};

}  // namespace jaymast
