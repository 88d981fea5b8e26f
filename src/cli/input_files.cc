#include "cli/input_files.h"

#include <fmt/format.h>

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <fstream>
#include <iostream>
#include <iterator>

#include "base/field_reader.h"
#include "model/codec.h"

namespace jaymast {
namespace {

namespace json = boost::json;

template <typename T>
using ItemDecoder = Result<T> (*)(const json::object&, const std::string&);

/// Decodes each table of the array `name`, which must be the only key of the document.
template <typename T>
Result<std::vector<T>> DecodeTables(const LocatedDocument& document, const std::string& name, ItemDecoder<T> decode) {
  FieldReader reader(document.root(), "");
  const json::array* tables = reader.Array(name);
  if (tables == nullptr || tables->empty()) reader.Fail(name, fmt::format("expected at least one [[{}]] table", name));
  reader.RejectUnknown();
  if (reader.error()) return document.Locate(*reader.error());
  std::vector<T> items;
  for (const json::value& value : *tables) {
    const std::string path = fmt::format("/{}/{}", name, items.size());
    if (!value.is_object()) return document.Locate(Error{ErrorId::kInputField, path, "expected a table"});
    Result<T> item = decode(value.get_object(), path);
    if (!item) return document.Locate(item.error());
    items.push_back(std::move(*item));
  }
  return items;
}

Result<std::string> ReadStream(std::istream& stream, const std::string& file) {
  std::string text;
  text.assign(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
  if (text.size() > kMaxInputFileBytes) return Error{ErrorId::kInputTooLarge, file, "larger than 16 MiB"};
  return text;
}

}  // namespace

Result<std::string> ReadInputFile(const std::string& file) {
  if (file == "-") return ReadStream(std::cin, "standard input");
  std::ifstream stream(file, std::ios::binary);
  if (!stream) return Error{ErrorId::kInputSyntax, file, "the file cannot be opened"};
  return ReadStream(stream, file);
}

Result<std::vector<Intent>> IntentsFromDocument(const LocatedDocument& document) {
  return DecodeTables<Intent>(document, "intent", &IntentFromJson);
}

Result<std::vector<TaskSpec>> TasksFromDocument(const LocatedDocument& document) {
  return DecodeTables<TaskSpec>(document, "task", &TaskSpecFromJson);
}

}  // namespace jaymast
