#include "runtime/toml_reader.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <set>

#include "base/toml.h"

namespace jaymast {

/// State shared by all readers of a file.
struct TomlReader::File {
  std::string name;
  toml::table root;
  std::set<const toml::node*> read;
  std::optional<Error> error;
};

struct TomlReader::Node {
  const toml::table* table = nullptr;  ///< null for an absent table
  std::string path;                    ///< key of the table in the file, empty for the root
  toml::source_position position;

  std::string KeyPath(std::string_view key) const {
    return path.empty() ? std::string(key) : path + "." + std::string(key);
  }

  const toml::node* Find(File& file, std::string_view key) const {
    const toml::node* node = table == nullptr ? nullptr : table->get(key);
    if (node != nullptr) file.read.insert(node);
    return node;
  }
};

namespace {

constexpr std::size_t kMaxFileBytes = 4U << 20U;

std::string Location(const std::string& file, const toml::source_position& position) {
  return fmt::format("{}:{}", file, position.line);
}

/// Finds the first key, at any depth, whose node is not in the set of read nodes.
std::optional<std::pair<std::string, toml::source_position>> FindUnread(const toml::table& table,
                                                                        const std::string& path,
                                                                        const std::set<const toml::node*>& read) {
  for (const auto& [key, node] : table) {
    const std::string key_path = path.empty() ? std::string(key.str()) : path + "." + std::string(key.str());
    if (read.count(&node) == 0) return std::make_pair(key_path, key.source().begin);
    if (const toml::table* child = node.as_table()) {
      if (auto unread = FindUnread(*child, key_path, read)) return unread;
    }
    const toml::array* array = node.as_array();
    for (std::size_t i = 0; array != nullptr && i < array->size(); ++i) {
      const toml::table* child = array->get(i)->as_table();
      if (child == nullptr) continue;
      if (auto unread = FindUnread(*child, fmt::format("{}[{}]", key_path, i), read)) return unread;
    }
  }
  return std::nullopt;
}

}  // namespace

TomlReader::TomlReader(std::shared_ptr<File> file, Node node)
    : m_file(std::move(file)), m_node(std::make_shared<const Node>(std::move(node))) {}

Result<TomlReader> TomlReader::ReadFile(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  if (!stream) return Error{ErrorId::kInputSyntax, file, "cannot read the file"};
  std::string text;
  text.resize(kMaxFileBytes + 1);
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(stream.gcount()));
  if (text.size() > kMaxFileBytes) {
    return Error{ErrorId::kInputTooLarge, file, fmt::format("longer than {} bytes", kMaxFileBytes)};
  }
  return ReadText(text, file);
}

Result<TomlReader> TomlReader::ReadText(std::string_view text, const std::string& name) {
  auto file = std::make_shared<File>();
  file->name = name;
  try {
    file->root = toml::parse(text, name);
  } catch (const toml::parse_error& error) {
    return Error{ErrorId::kInputSyntax, Location(name, error.source().begin), std::string(error.description())};
  }
  Node root{&file->root, "", {1, 1}};
  return TomlReader(std::move(file), std::move(root));
}

void TomlReader::Fail(std::string_view key, std::string reason) {
  if (m_file->error) return;
  const toml::node* node = m_node->table == nullptr ? nullptr : m_node->table->get(key);
  const toml::source_position position = node == nullptr ? m_node->position : node->source().begin;
  m_file->error =
      Error{ErrorId::kInputField, Location(m_file->name, position) + ": " + m_node->KeyPath(key), std::move(reason)};
}

std::string TomlReader::String(std::string_view key, std::string_view fallback) {
  const toml::node* node = m_node->Find(*m_file, key);
  if (node == nullptr) return std::string(fallback);
  if (const auto value = node->value_exact<std::string>()) return *value;
  Fail(key, "expected a string");
  return std::string(fallback);
}

std::string TomlReader::RequiredString(std::string_view key) {
  std::string text = String(key, "");
  if (text.empty()) Fail(key, "required, expected a string that is not empty");
  return text;
}

std::int64_t TomlReader::Int(std::string_view key, std::int64_t fallback, std::int64_t min, std::int64_t max) {
  const toml::node* node = m_node->Find(*m_file, key);
  if (node == nullptr) return fallback;
  const auto value = node->value_exact<std::int64_t>();
  if (value && *value >= min && *value <= max) return *value;
  Fail(key, fmt::format("expected a whole number from {} to {}", min, max));
  return fallback;
}

double TomlReader::Double(std::string_view key, double fallback, double min, double max) {
  const toml::node* node = m_node->Find(*m_file, key);
  if (node == nullptr) return fallback;
  const auto value = node->is_number() ? node->value<double>() : std::nullopt;
  if (value && *value >= min && *value <= max) return *value;
  Fail(key, fmt::format("expected a number from {} to {}", min, max));
  return fallback;
}

bool TomlReader::Bool(std::string_view key, bool fallback) {
  const toml::node* node = m_node->Find(*m_file, key);
  if (node == nullptr) return fallback;
  if (const auto value = node->value_exact<bool>()) return *value;
  Fail(key, "expected true or false");
  return fallback;
}

std::vector<std::string> TomlReader::Strings(std::string_view key) {
  const toml::node* node = m_node->Find(*m_file, key);
  std::vector<std::string> texts;
  if (node == nullptr) return texts;
  const toml::array* array = node->as_array();
  if (array == nullptr || !(array->empty() || array->is_homogeneous<std::string>())) {
    Fail(key, "expected an array of strings");
    return texts;
  }
  for (const toml::node& element : *array) texts.push_back(*element.value_exact<std::string>());
  return texts;
}

std::chrono::milliseconds TomlReader::Millis(std::string_view key, std::chrono::milliseconds fallback,
                                             std::chrono::milliseconds min, std::chrono::milliseconds max) {
  return std::chrono::milliseconds(Int(key, fallback.count(), min.count(), max.count()));
}

TomlReader TomlReader::Table(std::string_view key) {
  const toml::node* node = m_node->Find(*m_file, key);
  const toml::table* table = node == nullptr ? nullptr : node->as_table();
  if (node != nullptr && table == nullptr) Fail(key, "expected a table");
  const toml::source_position position = table == nullptr ? m_node->position : table->source().begin;
  return TomlReader(m_file, Node{table, m_node->KeyPath(key), position});
}

std::vector<TomlReader> TomlReader::Tables(std::string_view key) {
  const toml::node* node = m_node->Find(*m_file, key);
  std::vector<TomlReader> readers;
  if (node == nullptr) return readers;
  const toml::array* array = node->as_array();
  if (array == nullptr || !(array->empty() || array->is_array_of_tables())) {
    Fail(key, "expected an array of tables");
    return readers;
  }
  for (const toml::node& element : *array) {
    const std::string path = fmt::format("{}[{}]", m_node->KeyPath(key), readers.size());
    readers.push_back(TomlReader(m_file, Node{element.as_table(), path, element.source().begin}));
  }
  return readers;
}

std::vector<std::pair<std::string, TomlReader>> TomlReader::NamedTables(std::string_view key) {
  TomlReader parent = Table(key);
  std::vector<std::pair<std::string, TomlReader>> readers;
  if (parent.m_node->table == nullptr) return readers;
  for (const auto& [name, node] : *parent.m_node->table) {
    readers.emplace_back(std::string(name.str()), parent.Table(name.str()));
  }
  return readers;
}

std::optional<Error> TomlReader::Finish() {
  if (m_file->error) return m_file->error;
  const auto unread = FindUnread(m_file->root, "", m_file->read);
  if (!unread) return std::nullopt;
  m_file->error =
      Error{ErrorId::kInputField, Location(m_file->name, unread->second) + ": " + unread->first, "unknown key"};
  return m_file->error;
}

}  // namespace jaymast
