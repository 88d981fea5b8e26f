#pragma once

// The header-only parser asserts conditions that malformed files violate, and then reports the same conditions as
// errors. Only the report is wanted.
#define TOML_ASSERT(expr) static_cast<void>(0)
#include <toml++/toml.h>  // IWYU pragma: export
