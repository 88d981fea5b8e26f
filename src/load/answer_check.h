#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "load/work_stream.h"

namespace jaymast {

/// Body of a task that no other request of any run has.
/// @param run random name of the run
std::string MakeBody(std::string_view run, WorkStream stream, std::size_t number, std::int64_t run_ms,
                     std::int64_t padding_bytes);

/// Whether an output is the whole output of the stand-in runner for this body: digest, task id and body.
bool IsOwnWholeOutput(std::string_view output, std::string_view body);

}  // namespace jaymast
