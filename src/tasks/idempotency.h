#pragma once

#include <string>

#include "model/task_spec.h"

namespace jaymast {

/// Returns the table key for the idempotency key of a task, or an empty string if it has none.
std::string IdempotencyRowKey(const TaskSpec& spec);

/// Returns a digest of a task as requested, without the ids that the entry assigned to it.
std::string RequestDigest(const TaskSpec& spec);

}  // namespace jaymast
