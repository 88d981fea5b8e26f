#include "base/json_object.h"

#include <boost/json/parse.hpp>
#include <boost/system/error_code.hpp>
#include <string>
#include <utility>

namespace jaymast {
namespace {

namespace json = boost::json;

/// Exceeds the nesting of all messages of the project, and bounds the stack used for malicious input.
constexpr std::size_t kMaxJsonDepth = 32;

}  // namespace

Result<json::object> ParseObject(std::string_view text, std::string_view path) {
  json::parse_options options;
  options.max_depth = kMaxJsonDepth;
  boost::system::error_code ec;
  json::value value = json::parse(text, ec, {}, options);
  if (ec) return Error{ErrorId::kInputSyntax, std::string(path), "malformed JSON: " + ec.message()};
  if (!value.is_object()) return Error{ErrorId::kInputSyntax, std::string(path), "expected a JSON object"};
  return std::move(value.get_object());
}

}  // namespace jaymast
