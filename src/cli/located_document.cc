#include "cli/located_document.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <optional>
#include <utility>

#include "base/toml.h"
#include "model/codec.h"

namespace jaymast {
namespace {

namespace json = boost::json;

using LineMap = std::map<std::string, std::int64_t>;

/// Converts TOML values to JSON and records the line of each.
class TomlConverter {
 public:
  explicit TomlConverter(LineMap& lines) : m_lines(lines) {}

  json::object Table(const toml::table& table, const std::string& path) {
    json::object object;
    for (const auto& [key, node] : table) object[key.str()] = Value(node, path + "/" + std::string(key.str()));
    return object;
  }

  const std::optional<Error>& error() const { return m_error; }

 private:
  json::value Value(const toml::node& node, const std::string& path) {
    const std::int64_t line = node.source().begin.line;
    m_lines[path] = line;
    if (const toml::table* table = node.as_table()) return Table(*table, path);
    if (const toml::array* array = node.as_array()) return Array(*array, path);
    if (const auto* text = node.as_string()) return json::string(text->get());
    if (const auto* number = node.as_integer()) return number->get();
    if (const auto* real = node.as_floating_point()) return real->get();
    if (const auto* flag = node.as_boolean()) return flag->get();
    if (!m_error) m_error = Error{ErrorId::kInputField, path, "dates and times are not supported"};
    return nullptr;
  }

  json::array Array(const toml::array& array, const std::string& path) {
    json::array values;
    for (const toml::node& node : array) values.push_back(Value(node, fmt::format("{}/{}", path, values.size())));
    return values;
  }

  LineMap& m_lines;
  std::optional<Error> m_error;
};

/// Writes the path "/task/0/demand/slots" as "task[0].demand.slots".
std::string KeyFromPath(std::string_view path) {
  std::string key;
  while (!path.empty()) {
    path.remove_prefix(1);
    const std::string_view part = path.substr(0, path.find('/'));
    const bool is_index =
        !part.empty() && std::all_of(part.begin(), part.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (is_index) {
      key += fmt::format("[{}]", part);
    } else {
      if (!key.empty()) key += '.';
      key += part;
    }
    path.remove_prefix(part.size());
  }
  return key;
}

}  // namespace

Result<LocatedDocument> LocatedDocument::Parse(std::string_view text, std::string file) {
  return file.ends_with(".json") ? FromJson(text, std::move(file)) : FromToml(text, std::move(file));
}

Result<LocatedDocument> LocatedDocument::FromToml(std::string_view text, std::string file) {
  LocatedDocument document;
  document.m_file = std::move(file);
  try {
    const toml::table table = toml::parse(text, document.m_file);
    TomlConverter converter(document.m_lines);
    document.m_root = converter.Table(table, "");
    if (converter.error()) return document.Locate(*converter.error());
  } catch (const toml::parse_error& error) {
    const std::string path = fmt::format("{}:{}", document.m_file, error.source().begin.line);
    return Error{ErrorId::kInputSyntax, path, std::string(error.description())};
  }
  return document;
}

Result<LocatedDocument> LocatedDocument::FromJson(std::string_view text, std::string file) {
  Result<json::object> object = ParseObject(text, file);
  if (!object) return object.error();
  LocatedDocument document;
  document.m_file = std::move(file);
  document.m_root = std::move(*object);
  return document;
}

std::int64_t LocatedDocument::LineOf(std::string path) const {
  while (!path.empty()) {
    const auto found = m_lines.find(path);
    if (found != m_lines.end()) return found->second;
    path.resize(path.rfind('/'));
  }
  return 0;
}

Error LocatedDocument::Locate(const Error& error) const {
  const std::int64_t line = LineOf(error.path);
  const std::string place = line > 0 ? fmt::format("{}:{}", m_file, line) : m_file;
  return Error{error.id, fmt::format("{}: {}", place, KeyFromPath(error.path)), error.reason};
}

}  // namespace jaymast
