#pragma once

#include <string>
#include <vector>

namespace jaymast {

/// Left-aligned text table with a header in capital letters.
class TextTable {
 public:
  explicit TextTable(const std::vector<std::string>& columns);

  /// Adds a row. Missing cells at the end are empty.
  void AddRow(std::vector<std::string> cells);

  /// The table as lines, each starting with `indent` spaces. Columns are two spaces apart.
  std::string ToString(std::size_t indent = 0) const;

 private:
  std::vector<std::size_t> Widths() const;

  std::size_t m_columns;
  std::vector<std::vector<std::string>> m_rows;  ///< the first row is the header
};

}  // namespace jaymast
