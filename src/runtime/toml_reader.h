#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/enum_names.h"
#include "base/error.h"
#include "base/result.h"

namespace jaymast {

/// Reads typed values from a TOML file and keeps the first error.
///
/// The path of an error is "FILE:LINE: KEY", and its reason names the expected type and range. A missing key yields the
/// default. Finish() reports keys that were not read.
class TomlReader {
 public:
  /// @return a reader of the root table, or an error if the file cannot be read or parsed, or exceeds 4 MiB
  static Result<TomlReader> ReadFile(const std::string& file);

  /// @param name file name that errors report
  /// @return a reader of the root table, or the syntax error with its line
  static Result<TomlReader> ReadText(std::string_view text, const std::string& name);

  std::string String(std::string_view key, std::string_view fallback);

  /// Like String(), but an absent or empty value is an error.
  std::string RequiredString(std::string_view key);

  std::int64_t Int(std::string_view key, std::int64_t fallback, std::int64_t min, std::int64_t max);
  double Double(std::string_view key, double fallback, double min, double max);
  bool Bool(std::string_view key, bool fallback);
  std::vector<std::string> Strings(std::string_view key);

  /// Duration in whole milliseconds.
  std::chrono::milliseconds Millis(std::string_view key, std::chrono::milliseconds fallback,
                                   std::chrono::milliseconds min, std::chrono::milliseconds max);

  template <typename E>
  E Enum(std::string_view key, E fallback) {
    const std::string text = String(key, ToString(fallback));
    const std::optional<E> value = FromString<E>(text);
    if (value) return *value;
    std::string names;
    for (const std::string_view name : EnumNames<E>::kNames) names += (names.empty() ? "" : ", ") + std::string(name);
    Fail(key, "expected one of " + names);
    return fallback;
  }

  /// Reader of a subtable. An absent table is read as an empty one.
  TomlReader Table(std::string_view key);

  /// Readers of the elements of an array of tables.
  std::vector<TomlReader> Tables(std::string_view key);

  /// Names and readers of all subtables of a table, for names that the file chooses.
  std::vector<std::pair<std::string, TomlReader>> NamedTables(std::string_view key);

  /// Records an error at a key, unless an earlier error is already recorded.
  void Fail(std::string_view key, std::string reason);

  /// Checks the whole file for unknown keys, that is, keys that no reader has read.
  /// @return the first error of all readers of the file
  std::optional<Error> Finish();

 private:
  struct File;
  struct Node;

  TomlReader(std::shared_ptr<File> file, Node node);

  std::shared_ptr<File> m_file;
  std::shared_ptr<const Node> m_node;
};

}  // namespace jaymast
