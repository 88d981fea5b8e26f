#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "model/task_spec.h"

namespace jaymast {

/// How a fake runner runs a task. The body of the task may hold a JSON object with the fields
/// `run_ms`, `fail` and `output_bytes`; any other body is opaque.
struct TaskProfile {
  std::optional<std::int64_t> run_ms;  ///< actual run time, absent when the declared one applies
  bool fail = false;
  std::int64_t output_bytes = 0;  ///< least size of the output
};

/// Reads the profile from the body of a task. A body that is not such an object gives the default profile.
TaskProfile ReadTaskProfile(const std::string& body);

/// Output of a task that succeeded: the SHA-256 of the body, the task id and the body, separated by colons, and
/// filled up with dots to the requested size. A caller can check that an answer is whole and its own.
std::string TaskOutput(const TaskId& task, const std::string& body);

}  // namespace jaymast
