// Adoption of tasks whose home entry left or expired.
#include <algorithm>
#include <utility>

#include "membership/membership.h"
#include "tasks/task_manager.h"

namespace jaymast {
namespace {

/// Attempt numbers skipped by the adopter, because the former home may have requested holds with unrecorded numbers.
constexpr std::int64_t kAdoptedAttemptGap = 1000;

}  // namespace

void TaskManager::OnAdoptRows(const std::vector<Row>& rows) {
  if (!m_membership.IsLeaseValid() || m_is_closed) return;
  for (const Row& row : rows) {
    const EntryId home(row.key.substr(kAdoptPrefix.size()));
    const EntryId adopter(row.value);
    if (adopter == m_context.self) {
      if (m_adopted_homes.insert(home).second) LoadJournal(home);
      continue;
    }
    if (!m_membership.HasLeaseRecord(adopter)) AdoptOrphan(home, row.version);
  }
}

void TaskManager::AdoptOrphan(const EntryId& home, std::int64_t row_version) {
  std::vector<EntryId> candidates = {m_context.self};
  for (const auto& [id, peer] : m_membership.peers()) {
    if (peer.record.state == EntryState::kServing && m_membership.HasRecentHeartbeat(id)) candidates.push_back(id);
  }
  if (PreferredEntry(home.value(), candidates) != m_context.self) return;
  m_table.Commit({{AdoptKey(home), row_version}, m_membership.MembershipCondition()},
                 {{AdoptKey(home), m_context.self.value()}},
                 [this, home](CommitOutcome outcome, std::int64_t /*version*/) {
                   const bool is_adopted = outcome == CommitOutcome::kCommitted && m_adopted_homes.insert(home).second;
                   if (is_adopted) LoadJournal(home);
                 });
}

void TaskManager::LoadJournal(const EntryId& home) {
  ReadRequest request;
  request.prefixes.push_back(JournalPrefix(home));
  m_table.Read(request, [this, home](const ReadReply& reply) {
    if (!reply.available) {
      m_adopted_homes.erase(home);
      return;
    }
    std::vector<Row> rows = reply.rows;
    std::sort(rows.begin(), rows.end(), [](const Row& a, const Row& b) { return a.version < b.version; });
    std::set<TaskId> tasks;
    for (const Row& row : rows) {
      const Result<std::vector<JournalRecord>> records = DecodeRecords(row.value);
      if (!records) continue;
      m_journal.AddRow(row.key, *records);
      for (const JournalRecord& record : *records) {
        ApplyRecord(record);
        tasks.insert(record.id.task);
      }
    }
    ResumeAdopted(tasks);
  });
}

void TaskManager::ApplyRecord(const JournalRecord& record) {
  HomeTask& task = m_tasks[record.id.task];
  task.attempt = std::max(task.attempt, record.id.attempt);
  switch (record.kind) {
    case JournalRecordKind::kAccepted:
      task.spec = record.spec;
      task.accepted_at = m_context.Now();
      task.phase = HomeTaskPhase::kQueued;
      return;
    case JournalRecordKind::kClaimed:
      task.owner = record.owner;
      task.upstream = record.upstream;
      task.domain = record.domain;
      task.epoch = record.epoch;
      task.is_claimed = true;
      task.phase = HomeTaskPhase::kStarted;
      return;
    case JournalRecordKind::kReleased:
      task.checkpoint = record.checkpoint;
      task.phase = HomeTaskPhase::kQueued;
      return;
    case JournalRecordKind::kEnded:
      task.end = record.end;
      task.phase = HomeTaskPhase::kEnded;
      return;
    case JournalRecordKind::kRemoved:
      // ResumeAdopted() drops tasks without a specification.
      task.spec = TaskSpec{};
      return;
  }
}

void TaskManager::ResumeAdopted(const std::set<TaskId>& tasks) {
  for (const TaskId& id : tasks) {
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end()) continue;
    HomeTask& task = found->second;
    if (task.spec.id.empty()) {
      // Its removal is recorded, or the row of its acceptance was deleted while other tasks keep this row.
      m_tasks.erase(found);
      m_journal.Remove(id, "");
      continue;
    }
    if (task.phase == HomeTaskPhase::kQueued) task.attempt += kAdoptedAttemptGap;
    if (!task.spec.gang.empty()) m_gangs[task.spec.gang].insert(id);
  }
  for (const TaskId& id : tasks) {
    // RetainOutcome() of another task may have dropped this one.
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end()) continue;
    HomeTask& task = found->second;
    if (task.phase == HomeTaskPhase::kEnded) {
      RetainOutcome(id);
    } else if (task.phase == HomeTaskPhase::kStarted) {
      m_started_tasks.insert(id);
      Probe(task);
    } else if (task.phase == HomeTaskPhase::kQueued) {
      // A gang member is no longer queued if Enqueue() of another member has dispatched the gang.
      Enqueue(task);
    }
  }
}

}  // namespace jaymast
