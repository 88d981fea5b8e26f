#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/resources.h"
#include "base/time.h"

namespace jaymast {

using JobId = Id<struct JobTag>;
using QueueId = Id<struct QueueTag>;

/// Specification of one step: tasks with equal demand that may start once all `dependencies` are done.
struct StepSpec {
  std::int64_t task_count = 1;
  Resources demand;                       ///< upper bound for each task
  std::int64_t estimate_ms = 0;           ///< declared run time of a task, approximate
  std::vector<std::size_t> dependencies;  ///< indexes of earlier steps of the same job
  bool checkpoints = false;               ///< tasks save checkpoints
  bool is_gang = false;                   ///< tasks make progress only while all of them run
  bool same_rack = false;                 ///< tasks are slower if spread over racks
  bool is_speculative = false;            ///< duplicates of a task may run in parallel
  bool is_long_running = false;           ///< tasks run until the job is cancelled
  bool uses_spare_cpu = false;            ///< CPU demand is not counted against capacity
  std::string required_label;             ///< label required of the upstream, or empty
  std::string preferred_rack;             ///< rack close to the data, or empty
  std::int64_t max_per_upstream = 0;      ///< maximum tasks of the step on one upstream, 0 for no limit
  std::string image;                      ///< tasks with the same image are expected to behave alike
  std::int64_t latency_objective_ms = 0;  ///< tail latency objective of a serving task, 0 for none
  std::int64_t max_unavailable = 0;       ///< long-running tasks that planned maintenance may stop at a time

  /// Demand of all tasks.
  Resources total_demand() const {
    return {demand.cpu_millis * task_count, demand.memory_mb * task_count, demand.accelerators * task_count, 0};
  }

  /// Resources that a task is allocated on its upstream.
  Resources allocated_resources() const {
    Resources held = demand;
    if (uses_spare_cpu) held.cpu_millis = 0;
    return held;
  }
};

/// Specification of a job as submitted. Immutable after acceptance.
struct JobSpec {
  std::string payload;  ///< opaque input, passed to each task unchanged
  std::vector<StepSpec> steps;
  std::int64_t repeat_count = 0;      ///< occurrences of a scheduled job, 0 for a job that starts at once
  std::int64_t start_at_unix_ms = 0;  ///< due time of the first occurrence
  std::int64_t interval_ms = 0;       ///< between the due times of two occurrences

  std::int64_t occurrence_count() const { return repeat_count > 0 ? repeat_count : 1; }
};

}  // namespace jaymast
