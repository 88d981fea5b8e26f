#include "cli/view_text.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <vector>

#include "cli/text_table.h"

namespace jaymast {
namespace {

namespace json = boost::json;

bool IsTable(const json::value& value) {
  if (!value.is_array()) return false;
  const json::array& array = value.get_array();
  return std::all_of(array.begin(), array.end(), [](const json::value& item) { return item.is_object(); });
}

std::vector<std::string> ColumnsOf(const json::array& rows) {
  std::vector<std::string> columns;
  for (const json::value& row : rows) {
    for (const auto& field : row.get_object()) {
      const std::string name(field.key());
      if (std::find(columns.begin(), columns.end(), name) == columns.end()) columns.push_back(name);
    }
  }
  return columns;
}

std::string FormatRows(const json::array& rows) {
  if (rows.empty()) return "(none)\n";
  const std::vector<std::string> columns = ColumnsOf(rows);
  TextTable table(columns);
  for (const json::value& row : rows) {
    std::vector<std::string> cells;
    for (const std::string& column : columns) {
      const json::value* value = row.get_object().if_contains(column);
      cells.push_back(value == nullptr ? "" : CellText(*value));
    }
    table.AddRow(std::move(cells));
  }
  return table.ToString();
}

std::string JoinCells(const json::array& values) {
  std::string text;
  for (const json::value& value : values) {
    if (!text.empty()) text += ',';
    text += CellText(value);
  }
  return text;
}

std::string JoinFields(const json::object& object) {
  std::string text;
  for (const auto& field : object) {
    if (!text.empty()) text += ' ';
    text += fmt::format("{}={}", std::string_view(field.key()), CellText(field.value()));
  }
  return text;
}

}  // namespace

std::string CellText(const json::value& value) {
  if (value.is_null()) return "";
  if (value.is_string()) return std::string(value.get_string());
  if (value.is_array()) return JoinCells(value.get_array());
  if (value.is_object()) return JoinFields(value.get_object());
  return json::serialize(value);
}

std::string FormatView(const json::object& view) {
  std::string text;
  const auto tables = std::count_if(view.begin(), view.end(), [](const auto& field) { return IsTable(field.value()); });
  for (const auto& field : view) {
    if (!IsTable(field.value())) {
      text += fmt::format("{}: {}\n", std::string_view(field.key()), CellText(field.value()));
    }
  }
  for (const auto& field : view) {
    if (!IsTable(field.value())) continue;
    if (!text.empty()) text += '\n';
    if (tables > 1) text += fmt::format("{}\n", std::string_view(field.key()));
    text += FormatRows(field.value().get_array());
  }
  return text;
}

}  // namespace jaymast
