#pragma once

#include <boost/json/object.hpp>
#include <string_view>

#include "base/result.h"

namespace jaymast {

/// Parses a text as a JSON object of bounded depth.
/// @return the object, or jaymast.input.syntax with `path`
Result<boost::json::object> ParseObject(std::string_view text, std::string_view path);

}  // namespace jaymast
