#pragma once

#include <string_view>

namespace jaymast {

/// Whether a text is valid UTF-8, so that it can be written to JSON and read back.
bool IsUtf8(std::string_view text);

}  // namespace jaymast
