#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace jaymast {

/// Percent-encodes a text as one segment of a path.
std::string EncodeSegment(std::string_view text);

/// Splits a path into decoded segments: "/v1/tasks/a%2Fb" gives "v1", "tasks" and "a/b". A query is ignored.
/// @return the segments, or jaymast.route.unknown when the path is malformed or not UTF-8
Result<std::vector<std::string>> SplitPath(std::string_view target);

}  // namespace jaymast
