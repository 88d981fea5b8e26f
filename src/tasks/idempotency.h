#pragma once

#include <string>

#include "model/task_spec.h"

namespace jaymast {

/// Key of the row that belongs to the idempotency key of a task, or empty when the task has none.
std::string IdempotencyRowKey(const TaskSpec& spec);

/// Digest of what a caller asked for, without the ids that the entry added.
std::string RequestDigest(const TaskSpec& spec);

}  // namespace jaymast
