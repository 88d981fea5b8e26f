#pragma once

// The parser asserts conditions that malformed files violate, although it reports the same conditions as errors.
// Without the assertions, malformed files yield errors only.
#define TOML_ASSERT(expr) static_cast<void>(0)
#include <toml++/toml.h>  // IWYU pragma: export
