#pragma once

#include <string_view>

namespace jaymast {

/// Whether a text can be stored in JSON and read again.
bool IsUtf8(std::string_view text);

}  // namespace jaymast
