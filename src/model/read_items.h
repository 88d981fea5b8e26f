#pragma once

#include <fmt/format.h>

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "base/field_reader.h"
#include "base/result.h"

namespace jaymast {

/// Maximum number of items in one array of a message.
inline constexpr std::size_t kMaxArrayItems = 65'536;

/// Rejects unknown fields.
/// @return the value, or the first error of the reader
template <typename T>
Result<T> FinishReading(FieldReader& reader, T value) {
  reader.RejectUnknown();
  if (reader.error()) return *reader.error();
  return value;
}

/// Reads an array of objects. `read` is called with a reader for each object and the path of the object.
template <typename T, typename Read>
std::vector<T> ReadItems(FieldReader& reader, const std::string& name, const Read& read) {
  std::vector<T> items;
  const boost::json::array* array = reader.Array(name);
  if (array == nullptr) return items;
  if (array->size() > kMaxArrayItems) reader.Fail(name, fmt::format("more than {} items", kMaxArrayItems));
  for (const boost::json::value& value : *array) {
    if (reader.error()) return items;
    const std::string path = fmt::format("/{}/{}", name, items.size());
    if (!value.is_object()) {
      reader.Fail(name, path + ": expected an object");
      return items;
    }
    FieldReader fields(value.get_object(), path);
    Result<T> item = FinishReading<T>(fields, read(fields, path));
    if (!item) {
      reader.Fail(name, item.error().path + ": " + item.error().reason);
      return items;
    }
    items.push_back(std::move(*item));
  }
  return items;
}

}  // namespace jaymast
