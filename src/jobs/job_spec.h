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

/// One step of a job: tasks of equal demand that may start once all earlier steps in `after` are done.
struct StepSpec {
  std::int64_t task_count = 1;
  Resources demand;                       ///< of each task; a true limit
  std::int64_t estimate_ms = 0;           ///< declared run time of a task, a rough figure
  std::vector<std::size_t> dependencies;  ///< positions of steps of the same job
  bool checkpoints = false;               ///< tasks save their progress
  bool is_gang = false;                   ///< tasks work only while all are present
  bool same_rack = false;                 ///< tasks are slower when spread over racks
  bool is_speculative = false;            ///< copies of a task may run in parallel
  bool is_long_running = false;           ///< tasks run until the job is cancelled
  bool uses_spare_cpu = false;            ///< processors of the tasks are not counted against capacity
  std::string required_label;             ///< label that the upstream must have, or empty
  std::string preferred_rack;             ///< rack next to the data, or empty
  std::int64_t max_per_upstream = 0;      ///< most tasks of the step on one upstream, 0 for no bound
  std::string image;                      ///< tasks of one image behave alike
  std::int64_t latency_objective_ms = 0;  ///< bound of the tail latency of a serving task, 0 for none
  std::int64_t max_unavailable = 0;       ///< long-running tasks that planned work may take away at a time

  /// What a task takes of the room of its upstream.
  Resources allocated_resources() const {
    Resources held = demand;
    if (uses_spare_cpu) held.cpu_millis = 0;
    return held;
  }
};

/// A job as its client sent it. Does not change after acceptance.
struct JobSpec {
  std::string payload;  ///< opaque input, handed to each task unchanged
  std::vector<StepSpec> steps;
  std::int64_t repeat_count = 0;      ///< occurrences of a scheduled job, 0 for a job that starts at once
  std::int64_t start_at_unix_ms = 0;  ///< due time of the first occurrence
  std::int64_t interval_ms = 0;       ///< between two occurrences

  std::int64_t occurrence_count() const { return repeat_count > 0 ? repeat_count : 1; }
};

}  // namespace jaymast
