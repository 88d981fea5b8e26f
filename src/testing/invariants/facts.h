#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "model/cluster_config.h"
#include "model/task_spec.h"
#include "model/upstream_info.h"
#include "testing/invariants/caller_record.h"

namespace jaymast {

/// What the invariant checkers know in addition to the event log.
struct Facts {
  std::map<UpstreamId, UpstreamInfo> upstreams;
  std::map<TaskId, TaskSpec> specs;               ///< as received by runners
  std::map<TaskId, std::string> outputs;          ///< output of each task of specs if it succeeds
  std::map<std::int64_t, ClusterConfig> configs;  ///< by version
  std::map<RequestId, CallerRecord> callers;
  /// When an entry, by process name, was first told that an upstream is leaving.
  std::map<std::pair<UpstreamId, std::string>, Time> leaving_told;

  /// Specification of a task, or an empty one when no runner received it.
  const TaskSpec& Spec(const TaskId& task) const {
    static const TaskSpec kUnknown;
    const auto found = specs.find(task);
    return found == specs.end() ? kUnknown : found->second;
  }

  /// Identity of the work of a task. Tasks accepted under one idempotency key are the same work.
  std::string WorkKey(const TaskId& task) const {
    const TaskSpec& spec = Spec(task);
    if (spec.idempotency_key.empty()) return "task " + task.value();
    // One request with an idempotency key may carry several tasks, which differ in their bodies.
    return "key " + spec.team.value() + "/" + spec.idempotency_key + "/" + spec.body;
  }
};

}  // namespace jaymast
