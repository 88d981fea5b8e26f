#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "base/error.h"

namespace jaymast {

/// Reads typed fields of a JSON object and records the first error with the path of the offending field.
///
/// A missing field yields the fallback. A field of the wrong type or outside its range is an error. Lengths are in
/// bytes.
class FieldReader {
 public:
  /// @param object the object to read; must outlive the reader
  /// @param path path of the object itself, for error messages
  FieldReader(const boost::json::object& object, std::string path);

  std::string String(std::string_view name, std::string_view fallback, std::size_t max_length);
  std::string RequiredString(std::string_view name, std::size_t max_length);
  std::int64_t Int(std::string_view name, std::int64_t fallback, std::int64_t min, std::int64_t max);
  bool Bool(std::string_view name, bool fallback);
  const boost::json::object* Object(std::string_view name);
  const boost::json::array* Array(std::string_view name);

  template <typename E>
  E Enum(std::string_view name, E fallback) {
    const std::string text = String(name, ToString(fallback), kMaxEnumLength);
    const std::optional<E> value = FromString<E>(text);
    if (!value) Fail(name, "unknown value '" + text + "'");
    return value.value_or(fallback);
  }

  /// Records an error if the object has a field that was not read.
  void RejectUnknown();

  /// Records an error, unless one is recorded already.
  void Fail(std::string_view name, std::string reason);

  const std::optional<Error>& error() const { return m_error; }

 private:
  static constexpr std::size_t kMaxEnumLength = 64;

  /// Returns the field, or nullptr when it is missing, and marks the name as read.
  const boost::json::value* Find(std::string_view name);

  const boost::json::object& m_object;
  std::string m_path;
  std::set<std::string, std::less<>> m_read;  ///< names passed to Find(); RejectUnknown() accepts only these
  std::optional<Error> m_error;
};

}  // namespace jaymast
