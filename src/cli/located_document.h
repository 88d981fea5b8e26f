#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/result.h"

namespace jaymast {

/// A TOML or JSON file read as a JSON object, with the line of each value for error messages.
class LocatedDocument {
 public:
  /// Parses a text as JSON when the file name ends in ".json", and as TOML otherwise.
  ///
  /// @param text content of the file
  /// @param file name of the file, used in error messages only
  /// @return the document, or kInputSyntax with the path "FILE:LINE"
  static Result<LocatedDocument> Parse(std::string_view text, std::string file);

  const boost::json::object& root() const { return m_root; }

  /// Translates an error whose path points into the document into one whose path is "FILE:LINE: KEY".
  ///
  /// The line is that of the innermost value on the path that exists, so a missing field is reported at its table.
  /// JSON files have no lines; for them the path is "FILE: KEY".
  Error Locate(const Error& error) const;

 private:
  LocatedDocument() = default;

  static Result<LocatedDocument> FromToml(std::string_view text, std::string file);
  static Result<LocatedDocument> FromJson(std::string_view text, std::string file);

  std::int64_t LineOf(std::string path) const;

  std::string m_file;
  boost::json::object m_root;
  std::map<std::string, std::int64_t> m_lines;  ///< line of each value by its path, for example "/task/0/team"
};

}  // namespace jaymast
