#include "cell/log_record.h"

namespace jaymast {

std::string EncodeLogRecord(const JobId& job, RecordKind kind, std::string_view text) {
  std::string line = job.value();
  line += ' ';
  line += ToString(kind);
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
    const auto kind = FromString<RecordKind>(line.substr(first + 1, second - first - 1));
    if (!kind) return std::nullopt;
    records.push_back({JobId(std::string(line.substr(0, first))), *kind, std::string(line.substr(second + 1))});
  }
  return records;
}

}  // namespace jaymast
