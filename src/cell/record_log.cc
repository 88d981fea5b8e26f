#include "cell/record_log.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace jaymast {
namespace {

/// A row of the store holds 64 KiB.
constexpr std::size_t kMaxRowBytes = std::size_t{32} * 1024;
/// Rows in one transaction, which carries at most 100, among them the leader row and that of the lease bounds.
constexpr std::size_t kMaxRows = 98;
/// Removals in one transaction.
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
  for (const LogRecord& record : records) {
    AddToIndex(record.job, record.name, record.piece, number, record.text.size());
  }
}

std::pair<const std::int64_t, std::string>& RecordLog::RowWithSpace(std::size_t bytes) {
  if (m_pending_rows.empty() || m_pending_rows.rbegin()->second.size() + bytes > kMaxRowBytes) {
    m_pending_rows[m_next_row];
    m_rows[m_next_row];
    ++m_next_row;
  }
  return *m_pending_rows.rbegin();
}

void RecordLog::Put(const JobId& job, const RecordName& name, std::string_view text) {
  std::size_t piece = 0;
  do {
    const std::string_view piece_text = text.substr(0, kMaxRowBytes);
    text.remove_prefix(piece_text.size());
    const std::string line = EncodeLogRecord(job, name, piece, piece_text);
    auto& [row, pending] = RowWithSpace(line.size());
    pending += line;
    m_pending_bytes += line.size();
    AddToIndex(job, name, piece, row, line.size());
    ++piece;
  } while (!text.empty());
}

void RecordLog::DropOccurrence(const JobId& job, std::size_t occurrence) {
  const auto found = m_job_records.find(job);
  if (found == m_job_records.end()) return;
  const auto record = found->second.occurrences.find(occurrence);
  if (record == found->second.occurrences.end()) return;
  Supersede(record->second);
  found->second.occurrences.erase(record);
}

void RecordLog::RetainOccurrences(const JobId& job, const std::map<std::size_t, Occurrence>& open) {
  const auto found = m_job_records.find(job);
  if (found == m_job_records.end()) return;
  auto& records = found->second.occurrences;
  for (auto& [number, record] : records) {
    if (!open.contains(number)) Supersede(record);
  }
  std::erase_if(records, [&open](const auto& entry) { return !open.contains(entry.first); });
}

void RecordLog::AddToIndex(const JobId& job, const RecordName& name, std::size_t piece, std::int64_t row,
                           std::size_t bytes) {
  JobRecords& job_records = m_job_records[job];
  Row& target = m_rows[row];
  target.mentions.push_back(job);
  ++job_records.mentions;
  ++target.live;
  m_dead_rows.erase(row);
  target.live_bytes += bytes;
  m_live_bytes += bytes;
  const auto find_position = [&job_records, &name]() -> RecordPosition& {
    if (name.kind == RecordKind::kOccurrence) return job_records.occurrences[name.occurrence];
    return name.kind == RecordKind::kProgress ? job_records.progress : job_records.job;
  };
  RecordPosition& position = find_position();
  if (piece == 0) Supersede(position);
  position.push_back({row, bytes});
  if (name.kind == RecordKind::kProgress || name.kind == RecordKind::kOccurrence) return;
  job_records.job_kind = name.kind;
  if (name.kind != RecordKind::kJob) {
    Supersede(job_records.progress);
    for (auto& [number, record] : job_records.occurrences) Supersede(record);
    job_records.occurrences.clear();
  }
  DropTombstoneIfLast(job_records);
}

void RecordLog::Supersede(RecordPosition& position) {
  for (const PiecePosition& piece : position) {
    Row& row = m_rows[piece.row];
    --row.live;
    row.live_bytes -= piece.bytes;
    m_live_bytes -= piece.bytes;
    if (row.live == 0) m_dead_rows.insert(piece.row);
  }
  position.clear();
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
    const auto add_if_in_row = [&](const RecordPosition& position, const RecordName& name) {
      const bool is_in_row = std::any_of(position.begin(), position.end(),
                                         [&](const PiecePosition& piece) { return piece.row == emptiest->first; });
      if (is_in_row) items.push_back({job, name});
    };
    add_if_in_row(job_records.job, {job_records.job_kind});
    add_if_in_row(job_records.progress, {RecordKind::kProgress});
    for (const auto& [number, position] : job_records.occurrences) {
      add_if_in_row(position, {RecordKind::kOccurrence, number});
    }
  }
  return items;
}

std::vector<StateWrite> RecordLog::TakeWrites() {
  std::vector<StateWrite> writes;
  for (auto& [row, text] : m_pending_rows) writes.push_back({kRecordTable, RowKey(row), std::move(text)});
  // A row that is about to be written can't be removed by the same transaction. It is the newest.
  const std::int64_t first_pending = m_pending_rows.empty() ? m_next_row : m_pending_rows.begin()->first;
  const std::size_t max_removals = std::min(kMaxRemovals, kMaxRows - std::min(kMaxRows, writes.size()));
  for (std::size_t removals = 0; removals < max_removals && !m_dead_rows.empty(); ++removals) {
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
