#include "tasks/task_journal.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "membership/membership.h"

namespace jaymast {
namespace {

/// Limits of one row, which keep the transactions of the table service small.
constexpr std::size_t kMaxRecordsPerRow = 64;
constexpr std::size_t kMaxBytesPerRow = 1U << 20U;
constexpr std::size_t kMaxDeletesPerWrite = 64;

std::size_t SizeOf(const JournalRecord& record) {
  return record.spec.body.size() + record.checkpoint.size() + record.end.output.size();
}

}  // namespace

std::string JournalPrefix(const EntryId& home) { return "task/" + home.value() + "/"; }

TaskJournal::TaskJournal(Context& context, TableClient& table, const Membership& membership)
    : m_context(context), m_table(table), m_membership(membership) {}

void TaskJournal::Start() {
  Flush();
  m_context.After(m_context.settings.journal_interval, [this] { Start(); });
}

void TaskJournal::Append(JournalRecord record, std::optional<Write> insert, Done done) {
  m_pending.push_back(Pending{std::move(record), std::move(insert), std::move(done)});
}

TaskJournal::Batch TaskJournal::TakeBatch() {
  std::size_t count = 0;
  std::size_t bytes = 0;
  while (count < m_pending.size() && count < kMaxRecordsPerRow && bytes < kMaxBytesPerRow) {
    bytes += SizeOf(m_pending[count].record);
    ++count;
  }
  const auto end = m_pending.begin() + static_cast<std::ptrdiff_t>(count);
  Batch batch(std::make_move_iterator(m_pending.begin()), std::make_move_iterator(end));
  m_pending.erase(m_pending.begin(), end);
  return batch;
}

void TaskJournal::Flush() {
  while (!m_pending.empty() && m_table.TakeWriteBudget()) WriteBatch(TakeBatch());
}

void TaskJournal::WriteBatch(Batch batch) {
  std::vector<Condition> conditions = {m_membership.MembershipCondition()};
  std::vector<Write> writes;
  std::vector<JournalRecord> records;
  for (const Pending& pending : batch) {
    records.push_back(pending.record);
    if (!pending.insert) continue;
    conditions.push_back({pending.insert->key, 0});
    writes.push_back(*pending.insert);
  }
  const std::string key = fmt::format("{}{:012}", JournalPrefix(m_context.self), m_next_row++);
  writes.push_back({key, EncodeRecords(records)});
  // Before the deletions, one of which may be the row with the end of a removed task.
  Removals removals;
  if (std::optional<Write> write = TakeRemovals(removals)) writes.push_back(std::move(*write));
  const std::size_t deletes = std::min(m_rows_to_delete.size(), kMaxDeletesPerWrite);
  for (std::size_t i = 0; i < deletes; ++i) writes.push_back({m_rows_to_delete[i], std::nullopt});
  m_rows_to_delete.erase(m_rows_to_delete.begin(), m_rows_to_delete.begin() + static_cast<std::ptrdiff_t>(deletes));
  ++m_open_writes;
  auto shared = std::make_shared<Batch>(std::move(batch));
  m_table.Commit(std::move(conditions), std::move(writes),
                 [this, key, shared, removals](CommitOutcome outcome, std::int64_t /*version*/) {
                   --m_open_writes;
                   if (outcome != CommitOutcome::kCommitted) OnRemovalsNotWritten(removals);
                   if (outcome == CommitOutcome::kConflict) return OnConflict(std::move(*shared));
                   if (outcome == CommitOutcome::kCommitted) {
                     for (const Pending& pending : *shared) AddTaskToRow(key, pending.record.id.task);
                   }
                   for (const Pending& pending : *shared) pending.done(outcome);
                 });
}

void TaskJournal::OnConflict(Batch batch) {
  ReadRequest request;
  request.keys.push_back(m_membership.MembershipCondition().key);
  for (const Pending& pending : batch) {
    if (pending.insert) request.keys.push_back(pending.insert->key);
  }
  ++m_open_writes;
  auto shared = std::make_shared<Batch>(std::move(batch));
  m_table.Read(request, [this, shared](const ReadReply& reply) {
    --m_open_writes;
    std::set<std::string> present;
    for (const Row& row : reply.rows) present.insert(row.key);
    const bool is_member = present.contains(m_membership.MembershipCondition().key);
    for (Pending& pending : *shared) {
      if (!reply.available || !is_member) {
        // The transaction was rejected as a whole, so nothing was written.
        pending.done(CommitOutcome::kUnavailable);
      } else if (pending.insert && present.contains(pending.insert->key)) {
        pending.done(CommitOutcome::kConflict);
      } else {
        m_pending.push_back(std::move(pending));
      }
    }
  });
}

void TaskJournal::AddTaskToRow(const std::string& key, const TaskId& task) {
  m_tasks_by_row[key].insert(task);
  m_rows_by_task[task].insert(key);
}

void TaskJournal::AddRow(const std::string& key, const std::vector<JournalRecord>& records) {
  for (const JournalRecord& record : records) AddTaskToRow(key, record.id.task);
}

void TaskJournal::Remove(const TaskId& task, const std::string& extra_row) {
  if (!extra_row.empty()) m_rows_to_delete.push_back(extra_row);
  const auto rows = m_rows_by_task.find(task);
  if (rows == m_rows_by_task.end()) return;
  std::set<std::string> kept;
  for (const std::string& key : rows->second) {
    const auto row = m_tasks_by_row.find(key);
    row->second.erase(task);
    if (row->second.empty()) {
      DeleteRow(key);
    } else {
      kept.insert(key);
    }
  }
  m_rows_by_task.erase(rows);
  if (!kept.empty()) m_unwritten_removals[task] = std::move(kept);
}

void TaskJournal::DeleteRow(const std::string& key) {
  m_tasks_by_row.erase(key);
  m_rows_to_delete.push_back(key);
  for (auto& [task, kept] : m_unwritten_removals) kept.erase(key);
  std::erase_if(m_unwritten_removals, [](const auto& entry) { return entry.second.empty(); });
  for (auto it = m_removal_rows.begin(); it != m_removal_rows.end();) {
    it->second.erase(key);
    if (!it->second.empty()) {
      ++it;
      continue;
    }
    m_rows_to_delete.push_back(it->first);
    it = m_removal_rows.erase(it);
  }
}

std::optional<Write> TaskJournal::TakeRemovals(Removals& removals) {
  if (m_unwritten_removals.empty()) return std::nullopt;
  removals.tasks = std::exchange(m_unwritten_removals, {});
  removals.key = fmt::format("{}{:012}", JournalPrefix(m_context.self), m_next_row++);
  std::vector<JournalRecord> records;
  for (const auto& [task, kept] : removals.tasks) {
    JournalRecord& record = records.emplace_back();
    record.kind = JournalRecordKind::kRemoved;
    record.id = AttemptId{task, 0};
    m_removal_rows[removals.key].insert(kept.begin(), kept.end());
  }
  return Write{removals.key, EncodeRecords(records)};
}

void TaskJournal::OnRemovalsNotWritten(const Removals& removals) {
  m_removal_rows.erase(removals.key);
  for (const auto& [task, kept] : removals.tasks) {
    for (const std::string& key : kept) {
      if (m_tasks_by_row.contains(key)) m_unwritten_removals[task].insert(key);
    }
  }
}

}  // namespace jaymast
