#include "cli/text_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace jaymast {
namespace {

constexpr std::size_t kColumnGap = 2;

std::string UpperCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
  return text;
}

/// Replaces control characters, so that a value cannot break the table or send sequences to the terminal.
std::string Printable(std::string text) {
  std::replace_if(
      text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }, ' ');
  return text;
}

/// Number of characters of a UTF-8 text.
std::size_t DisplayWidth(const std::string& text) {
  const auto starts_character = [](unsigned char c) { return (c & 0xc0U) != 0x80U; };
  return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), starts_character));
}

}  // namespace

TextTable::TextTable(const std::vector<std::string>& columns) : m_columns(columns.size()) {
  std::vector<std::string> header;
  header.reserve(columns.size());
  for (const std::string& column : columns) header.push_back(UpperCase(Printable(column)));
  m_rows.push_back(std::move(header));
}

void TextTable::AddRow(std::vector<std::string> cells) {
  cells.resize(m_columns);
  for (std::string& cell : cells) cell = Printable(std::move(cell));
  m_rows.push_back(std::move(cells));
}

std::vector<std::size_t> TextTable::Widths() const {
  std::vector<std::size_t> widths(m_columns, 0);
  for (const auto& row : m_rows) {
    for (std::size_t i = 0; i < m_columns; ++i) widths[i] = std::max(widths[i], DisplayWidth(row[i]));
  }
  return widths;
}

std::string TextTable::ToString(std::size_t indent) const {
  const std::vector<std::size_t> widths = Widths();
  std::string text;
  for (const auto& row : m_rows) {
    std::string line(indent, ' ');
    for (std::size_t i = 0; i < m_columns; ++i) {
      line += row[i];
      line.append(widths[i] - DisplayWidth(row[i]) + kColumnGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + '\n';
  }
  return text;
}

}  // namespace jaymast
