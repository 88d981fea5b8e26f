#include "cell/early_cancels.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

#include "base/field_reader.h"
#include "base/json_object.h"

namespace jaymast {
namespace {

constexpr int kKeyDigits = 12;
constexpr std::size_t kMaxNameBytes = 60'000;
/// A row with a longer time left was not written by this class.
constexpr std::int64_t kMaxTimeLeftMs = 2 * ToMillis(EarlyCancels::kRetention + EarlyCancels::kRowSpan);

/// Returns a key of fixed length, so that keys sort in the order of the rows.
std::string RowKey(std::int64_t number) { return fmt::format("{:0{}}", number, kKeyDigits); }

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t number = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (ec != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return number;
}

/// Encodes a cancel as one line: the id, which has no spaces as it is part of a request target, and the other fields.
std::string EncodeLine(const EarlyCancels::Key& key) {
  const boost::json::object fields = {{"q", key.queue.value()}, {"t", key.team.value()}};
  return fmt::format("{} {}\n", key.job.value(), boost::json::serialize(fields));
}

std::optional<EarlyCancels::Key> DecodeLine(std::string_view line) {
  const std::size_t space = line.find(' ');
  if (space == std::string_view::npos) return std::nullopt;
  const Result<boost::json::object> object = ParseObject(line.substr(space + 1), kEarlyCancelTable);
  if (!object) return std::nullopt;
  FieldReader reader(*object, kEarlyCancelTable);
  EarlyCancels::Key key;
  key.job = JobId(line.substr(0, space));
  key.queue = QueueId(reader.RequiredString("q", kMaxNameBytes));
  key.team = TeamId(reader.String("t", "", kMaxNameBytes));
  if (reader.error()) return std::nullopt;
  return key;
}

}  // namespace

bool EarlyCancels::LoadRow(const StateRow& row, std::int64_t store_now_ms, Time now) {
  const std::optional<std::int64_t> number = ParseNumber(row.key);
  if (!number || *number <= 0) return false;
  m_next_row = std::max(m_next_row, *number + 1);
  std::string_view text = row.value;
  const auto take_line = [&text]() -> std::optional<std::string_view> {
    const std::size_t end = text.find('\n');
    if (end == std::string_view::npos) return std::nullopt;
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end + 1);
    return line;
  };
  const std::optional<std::string_view> first = take_line();
  const std::optional<std::int64_t> until_ms = first ? ParseNumber(*first) : std::nullopt;
  if (!until_ms || *until_ms < 0) return false;
  Row& loaded = m_rows[*number];
  loaded.is_stored = true;
  loaded.closes_at = now;  // its text is not kept, so nothing can be appended
  loaded.until = now + std::chrono::milliseconds(std::clamp<std::int64_t>(*until_ms - store_now_ms, 0, kMaxTimeLeftMs));
  bool is_readable = true;
  while (!text.empty()) {
    const std::optional<std::string_view> line = take_line();
    const std::optional<Key> key = line ? DecodeLine(*line) : std::nullopt;
    is_readable = is_readable && key.has_value();
    if (!line) break;
    if (key) Insert(*number, loaded, *key, line->size() + 1);
  }
  return is_readable;
}

bool EarlyCancels::Add(const Key& key, std::int64_t store_now_ms, Time now) {
  DropExpired(now);
  const auto kept = m_row_of.find(key);
  if (kept != m_row_of.end() && m_rows.at(kept->second).closes_at > now) return true;
  const std::string line = EncodeLine(key);
  if (m_bytes + line.size() > kMaxBytes || TeamBytes(key.team) + line.size() > kMaxTeamBytes) return false;
  auto& [number, row] = OpenRow(line.size(), store_now_ms, now);
  row.text += line;
  row.last_change = ++m_change;
  Insert(number, row, key, line.size());
  m_changed_rows.insert(number);
  return true;
}

bool EarlyCancels::Contains(const Key& key, Time now) {
  DropExpired(now);
  return m_row_of.contains(key);
}

Time EarlyCancels::RoomAt(const TeamId& team) const {
  const bool is_team_full = TeamBytes(team) + kRowBytes > kMaxTeamBytes;
  const auto is_of_team = [&team](const auto& cancel) { return cancel.first.team == team; };
  for (const auto& [number, row] : m_rows) {
    if (!is_team_full || std::any_of(row.cancels.begin(), row.cancels.end(), is_of_team)) return row.until;
  }
  return {};
}

void EarlyCancels::WhenCommitted(std::function<void()> action) {
  if (m_change <= m_committed_change) return action();
  m_commit_callbacks.emplace_back(m_change, std::move(action));
}

std::vector<StateWrite> EarlyCancels::TakeWrites(std::size_t max_rows, Time now) {
  DropExpired(now);
  std::vector<StateWrite> writes;
  while (!m_changed_rows.empty() && writes.size() < max_rows) {
    const RowNumber number = *m_changed_rows.begin();
    m_changed_rows.erase(m_changed_rows.begin());
    Row& row = m_rows.at(number);
    row.is_stored = true;
    m_written_change = row.last_change;
    writes.push_back({kEarlyCancelTable, RowKey(number), row.text});
  }
  while (!m_removed_rows.empty() && writes.size() < max_rows) {
    writes.push_back({kEarlyCancelTable, RowKey(m_removed_rows.back()), std::nullopt});
    m_removed_rows.pop_back();
  }
  return writes;
}

void EarlyCancels::OnCommitted(std::uint64_t change) {
  m_committed_change = std::max(m_committed_change, change);
  while (!m_commit_callbacks.empty() && m_commit_callbacks.front().first <= change) {
    const auto action = std::move(m_commit_callbacks.front().second);
    m_commit_callbacks.pop_front();
    action();
  }
}

void EarlyCancels::DropExpired(Time now) {
  while (!m_rows.empty() && m_rows.begin()->second.until <= now) {
    const RowNumber number = m_rows.begin()->first;
    const Row& row = m_rows.begin()->second;
    for (const auto& [key, bytes] : row.cancels) {
      const auto kept = m_row_of.find(key);
      if (kept != m_row_of.end() && kept->second == number) m_row_of.erase(kept);
      m_bytes -= bytes;
      const auto used = m_team_bytes.find(key.team);
      used->second -= bytes;
      if (used->second == 0) m_team_bytes.erase(used);
    }
    if (row.is_stored) m_removed_rows.push_back(number);
    m_changed_rows.erase(number);
    m_rows.erase(m_rows.begin());
  }
}

std::size_t EarlyCancels::TeamBytes(const TeamId& team) const {
  const auto used = m_team_bytes.find(team);
  return used == m_team_bytes.end() ? 0 : used->second;
}

std::pair<const EarlyCancels::RowNumber, EarlyCancels::Row>& EarlyCancels::OpenRow(std::size_t bytes,
                                                                                   std::int64_t store_now_ms,
                                                                                   Time now) {
  if (!m_rows.empty()) {
    const Row& newest = m_rows.rbegin()->second;
    if (newest.closes_at > now && newest.text.size() + bytes <= kRowBytes) return *m_rows.rbegin();
  }
  Row& row = m_rows[m_next_row++];
  row.closes_at = now + kRowSpan;
  row.until = row.closes_at + kRetention;
  row.text = fmt::format("{}\n", store_now_ms + ToMillis(row.until - now));
  return *m_rows.rbegin();
}

void EarlyCancels::Insert(RowNumber number, Row& row, const Key& key, std::size_t bytes) {
  row.cancels.emplace_back(key, bytes);
  m_row_of[key] = number;
  m_bytes += bytes;
  m_team_bytes[key.team] += bytes;
}

}  // namespace jaymast
