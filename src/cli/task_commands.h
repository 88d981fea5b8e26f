#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cli/command_context.h"
#include "model/task_spec.h"

namespace jaymast {

/// Options of `submit` and `preview`.
struct SubmitOptions {
  std::chrono::milliseconds wait{0};  ///< time the server may wait for the outcome, 0 for none
  std::string idempotency_key;        ///< prefix for tasks without a key of their own; empty for a random one
};

/// Gives each task without an idempotency key the key "PREFIX-NUMBER", counted from 1.
void FillIdempotencyKeys(std::vector<TaskSpec>& specs, const std::string& prefix);

/// `submit FILE`: submits durable tasks. Prints the prefix of the idempotency keys when the outcome is unknown, so that
/// the submission can be repeated without running twice.
ExitCode RunSubmit(CommandContext& context, std::vector<TaskSpec> specs, const SubmitOptions& options);

/// `preview FILE`: runs one preview and writes its output unchanged.
ExitCode RunPreview(CommandContext& context, const TaskSpec& spec, std::chrono::milliseconds timeout);

/// `task TASK`: prints the state of a task, and waits for its end when `wait` is not zero.
ExitCode RunTaskStatus(CommandContext& context, const std::string& task, std::chrono::milliseconds wait);

/// `cancel TASK`.
ExitCode RunCancel(CommandContext& context, const std::string& task);

}  // namespace jaymast
