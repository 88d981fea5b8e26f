#include "cell/record_log.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace jaymast {
namespace {

/// A row of the store holds 64 KiB; a single record may take most of it.
constexpr std::size_t kMaxRowBytes = std::size_t{32} * 1024;
/// Removals in one transaction, which carries at most 100 rows.
constexpr std::size_t kMaxRemovals = 60;
/// Up to this many rows nothing is compacted: a page of a scan carries 500.
constexpr std::size_t kMinRowsToCompact = 100;
/// Beyond kMinRowsToCompact, rows are compacted until they hold this many live bytes on average.
constexpr std::size_t kTargetLiveBytesPerRow = 4'096;
/// A row with more live bytes is not compacted, as writing it again costs more than reading it.
constexpr std::size_t kMaxCompactedBytes = std::size_t{16} * 1024;
constexpr int kKeyDigits = 12;

/// Returns a key of fixed length, so that keys sort in the order of the rows.
std::string RowKey(std::int64_t row) { return fmt::format("{:0{}}", row, kKeyDigits); }

}  // namespace

void RecordLog::AddLoadedRow(const StateRow& row, const std::vector<LogRecord>& records) {
  std::int64_t number = 0;
  std::from_chars(row.key.data(), row.key.data() + row.key.size(), number);
  if (number <= 0) return;
  m_rows[number];
  m_next_row = std::max(m_next_row, number + 1);
  m_dead_rows.insert(number);
  for (const LogRecord& record : records) AddToIndex(record.job, record.kind, number, record.text.size());
}

void RecordLog::Put(const JobId& job, RecordKind kind, std::string_view text) {
  const std::string line = EncodeLogRecord(job, kind, text);
  if (m_pending_rows.empty() || m_pending_rows.rbegin()->second.size() + line.size() > kMaxRowBytes) {
    m_pending_rows[m_next_row];
    m_rows[m_next_row];
    ++m_next_row;
  }
  auto& [row, pending] = *m_pending_rows.rbegin();
  pending += line;
  m_pending_bytes += line.size();
  AddToIndex(job, kind, row, line.size());
}

void RecordLog::AddToIndex(const JobId& job, RecordKind kind, std::int64_t row, std::size_t bytes) {
  JobRecords& job_records = m_job_records[job];
  Row& target = m_rows[row];
  target.mentions.push_back(job);
  ++job_records.mentions;
  ++target.live;
  m_dead_rows.erase(row);
  target.live_bytes += bytes;
  m_live_bytes += bytes;
  RecordPosition& position = kind == RecordKind::kProgress ? job_records.progress : job_records.job;
  Supersede(position);
  position = {row, bytes};
  if (kind == RecordKind::kProgress) return;
  job_records.job_kind = kind;
  if (kind != RecordKind::kJob) Supersede(job_records.progress);
  DropTombstoneIfLast(job_records);
}

void RecordLog::Supersede(RecordPosition& position) {
  if (position.row == 0) return;
  Row& row = m_rows[position.row];
  --row.live;
  row.live_bytes -= position.bytes;
  m_live_bytes -= position.bytes;
  if (row.live == 0) m_dead_rows.insert(position.row);
  position = {};
}

void RecordLog::DropTombstoneIfLast(JobRecords& job_records) {
  if (job_records.job_kind == RecordKind::kTombstone && job_records.mentions == 1) Supersede(job_records.job);
}

void RecordLog::Forget(const JobId& job) {
  const auto found = m_job_records.find(job);
  if (found == m_job_records.end()) return;
  found->second.job_kind = RecordKind::kTombstone;
  DropTombstoneIfLast(found->second);
}

std::vector<RecordLog::RecordRef> RecordLog::RecordsToCompact() const {
  std::vector<RecordRef> items;
  if (m_rows.size() <= kMinRowsToCompact + m_live_bytes / kTargetLiveBytesPerRow) return items;
  const std::pair<const std::int64_t, Row>* emptiest = nullptr;
  for (const auto& entry : m_rows) {
    if (entry.second.live == 0 || m_pending_rows.contains(entry.first)) continue;
    if (emptiest == nullptr || entry.second.live_bytes < emptiest->second.live_bytes) emptiest = &entry;
  }
  if (emptiest == nullptr || emptiest->second.live_bytes > kMaxCompactedBytes) return items;
  for (const JobId& job : emptiest->second.mentions) {
    const JobRecords& job_records = m_job_records.at(job);
    const bool is_listed =
        std::any_of(items.begin(), items.end(), [&job](const RecordRef& item) { return item.job == job; });
    if (is_listed) continue;
    if (job_records.job.row == emptiest->first) items.push_back({job, job_records.job_kind});
    if (job_records.progress.row == emptiest->first) items.push_back({job, RecordKind::kProgress});
  }
  return items;
}

std::vector<StateWrite> RecordLog::TakeWrites() {
  std::vector<StateWrite> writes;
  for (auto& [row, text] : m_pending_rows) writes.push_back({kRecordTable, RowKey(row), std::move(text)});
  // A row that is about to be written can't be removed by the same transaction. It is the newest.
  const std::int64_t first_pending = m_pending_rows.empty() ? m_next_row : m_pending_rows.begin()->first;
  for (std::size_t removals = 0; removals < kMaxRemovals && !m_dead_rows.empty(); ++removals) {
    const std::int64_t row = *m_dead_rows.begin();
    if (row >= first_pending) break;
    m_dead_rows.erase(m_dead_rows.begin());
    writes.push_back({kRecordTable, RowKey(row), std::nullopt});
    const std::vector<JobId> mentions = std::move(m_rows[row].mentions);
    m_rows.erase(row);
    for (const JobId& job : mentions) {
      JobRecords& job_records = m_job_records[job];
      --job_records.mentions;
      DropTombstoneIfLast(job_records);
      if (job_records.mentions == 0) m_job_records.erase(job);
    }
  }
  m_pending_rows.clear();
  m_pending_bytes = 0;
  return writes;
}

}  // namespace jaymast
