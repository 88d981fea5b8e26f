#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace jaymast {

/// Percent-encodes a text for use as one segment of a path.
std::string EncodeSegment(std::string_view text);

/// Splits a path into its decoded segments: "/v1/tasks/a%2Fb" gives "v1", "tasks" and "a/b". A query is ignored.
Result<std::vector<std::string>> SplitPath(std::string_view target);

}  // namespace jaymast
