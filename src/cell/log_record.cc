#include "cell/log_record.h"

#include <charconv>

namespace jaymast {
namespace {

constexpr char kOccurrenceSeparator = ':';
constexpr char kPieceSeparator = '+';

std::optional<std::size_t> ParseNumber(std::string_view text) {
  std::size_t number = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (ec != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return number;
}

/// Removes a separator and the number behind it from the end of a text.
/// @return the number, 0 without a separator, or nothing if the number is malformed
std::optional<std::size_t> TakeNumber(std::string_view& text, char separator) {
  const std::size_t at = text.find(separator);
  if (at == std::string_view::npos) return 0;
  const std::string_view digits = text.substr(at + 1);
  text = text.substr(0, at);
  return ParseNumber(digits);
}

}  // namespace

void RecordText::Add(std::size_t piece, std::string_view piece_text) {
  if (piece == 0) {
    text = piece_text;
    pieces = 1;
  } else if (piece == pieces) {
    text += piece_text;
    ++pieces;
  }
}

std::string EncodeLogRecord(const JobId& job, const RecordName& name, std::size_t piece, std::string_view text) {
  std::string line = job.value();
  line += ' ';
  line += ToString(name.kind);
  if (name.kind == RecordKind::kOccurrence) line += kOccurrenceSeparator + std::to_string(name.occurrence);
  if (piece > 0) line += kPieceSeparator + std::to_string(piece);
  line += ' ';
  line += text;
  line += '\n';
  return line;
}

std::optional<std::vector<LogRecord>> DecodeLogRow(std::string_view text) {
  std::vector<LogRecord> records;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    if (end == std::string_view::npos) return std::nullopt;
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end + 1);
    const std::size_t first = line.find(' ');
    const std::size_t second = first == std::string_view::npos ? first : line.find(' ', first + 1);
    if (second == std::string_view::npos) return std::nullopt;
    std::string_view kind_text = line.substr(first + 1, second - first - 1);
    const auto piece = TakeNumber(kind_text, kPieceSeparator);
    const auto occurrence = TakeNumber(kind_text, kOccurrenceSeparator);
    const auto kind = FromString<RecordKind>(kind_text);
    if (!kind || !piece || !occurrence) return std::nullopt;
    records.push_back({JobId(std::string(line.substr(0, first))),
                       {*kind, *occurrence},
                       *piece,
                       std::string(line.substr(second + 1))});
  }
  return records;
}

}  // namespace jaymast
