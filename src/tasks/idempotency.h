#pragma once

#include <string>

#include "model/task_spec.h"

namespace jaymast {

/// Returns the table key for the idempotency key of a task, or an empty string if it has none.
std::string IdempotencyRowKey(const TaskSpec& spec);

/// Returns a digest of the request, which excludes the ids assigned by the entry.
std::string RequestDigest(const TaskSpec& spec);

}  // namespace jaymast
