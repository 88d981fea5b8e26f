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
/// Rows that are not worth emptying: a page of a scan carries 500.
constexpr std::size_t kFreeRows = 100;
/// Beyond kFreeRows, rows are emptied until they hold this many bytes that count on average.
constexpr std::size_t kBytesOfKeptRow = 4'096;
/// A row that holds more is not emptied, as writing it again costs more than reading it.
constexpr std::size_t kMaxMovedBytes = std::size_t{16} * 1024;
constexpr int kKeyDigits = 12;

/// Keys of one length, so that their order is that of the rows.
std::string RowKey(std::int64_t row) { return fmt::format("{:0{}}", row, kKeyDigits); }

}  // namespace

void RecordLog::AddLoaded(const StateRow& row, const std::vector<LogRecord>& records) {
  std::int64_t number = 0;
  std::from_chars(row.key.data(), row.key.data() + row.key.size(), number);
  if (number <= 0) return;
  m_rows[number];
  m_next_row = std::max(m_next_row, number + 1);
  m_dead.insert(number);
  for (const LogRecord& record : records) Index(record.job, record.kind, number, record.text.size());
}

void RecordLog::Put(const JobId& job, RecordKind kind, std::string_view text) {
  const std::string line = EncodeLogRecord(job, kind, text);
  if (m_pending.empty() || m_pending.rbegin()->second.size() + line.size() > kMaxRowBytes) {
    m_pending[m_next_row];
    m_rows[m_next_row];
    ++m_next_row;
  }
  auto& [row, pending] = *m_pending.rbegin();
  pending += line;
  m_pending_bytes += line.size();
  Index(job, kind, row, line.size());
}

void RecordLog::Index(const JobId& job, RecordKind kind, std::int64_t row, std::size_t bytes) {
  Place& place = m_places[job];
  Row& target = m_rows[row];
  target.mentions.push_back(job);
  ++place.mentions;
  ++target.live;
  m_dead.erase(row);
  target.live_bytes += bytes;
  m_live_bytes += bytes;
  Slot& slot = kind == RecordKind::kProgress ? place.progress : place.job;
  Retire(slot);
  slot = {row, bytes};
  if (kind == RecordKind::kProgress) return;
  place.job_kind = kind;
  if (kind != RecordKind::kJob) Retire(place.progress);
  RetireIfLast(place);
}

void RecordLog::Retire(Slot& slot) {
  if (slot.row == 0) return;
  Row& row = m_rows[slot.row];
  --row.live;
  row.live_bytes -= slot.bytes;
  m_live_bytes -= slot.bytes;
  if (row.live == 0) m_dead.insert(slot.row);
  slot = {};
}

void RecordLog::RetireIfLast(Place& place) {
  if (place.job_kind == RecordKind::kTombstone && place.mentions == 1) Retire(place.job);
}

void RecordLog::Forget(const JobId& job) {
  const auto found = m_places.find(job);
  if (found == m_places.end()) return;
  found->second.job_kind = RecordKind::kTombstone;
  RetireIfLast(found->second);
}

std::vector<RecordLog::Item> RecordLog::ItemsToMove() const {
  std::vector<Item> items;
  if (m_rows.size() <= kFreeRows + m_live_bytes / kBytesOfKeptRow) return items;
  const std::pair<const std::int64_t, Row>* emptiest = nullptr;
  for (const auto& entry : m_rows) {
    if (entry.second.live == 0 || m_pending.contains(entry.first)) continue;
    if (emptiest == nullptr || entry.second.live_bytes < emptiest->second.live_bytes) emptiest = &entry;
  }
  if (emptiest == nullptr || emptiest->second.live_bytes > kMaxMovedBytes) return items;
  for (const JobId& job : emptiest->second.mentions) {
    const Place& place = m_places.at(job);
    const bool is_listed =
        std::any_of(items.begin(), items.end(), [&job](const Item& item) { return item.job == job; });
    if (is_listed) continue;
    if (place.job.row == emptiest->first) items.push_back({job, place.job_kind});
    if (place.progress.row == emptiest->first) items.push_back({job, RecordKind::kProgress});
  }
  return items;
}

std::vector<StateWrite> RecordLog::TakeWrites() {
  std::vector<StateWrite> writes;
  for (auto& [row, text] : m_pending) writes.push_back({kRecordTable, RowKey(row), std::move(text)});
  // A row that is about to be written can't be removed by the same transaction. It is the newest.
  const std::int64_t first_pending = m_pending.empty() ? m_next_row : m_pending.begin()->first;
  for (std::size_t removals = 0; removals < kMaxRemovals && !m_dead.empty(); ++removals) {
    const std::int64_t row = *m_dead.begin();
    if (row >= first_pending) break;
    m_dead.erase(m_dead.begin());
    writes.push_back({kRecordTable, RowKey(row), std::nullopt});
    const std::vector<JobId> mentions = std::move(m_rows[row].mentions);
    m_rows.erase(row);
    for (const JobId& job : mentions) {
      Place& place = m_places[job];
      --place.mentions;
      RetireIfLast(place);
      if (place.mentions == 0) m_places.erase(job);
    }
  }
  m_pending.clear();
  m_pending_bytes = 0;
  return writes;
}

}  // namespace jaymast
