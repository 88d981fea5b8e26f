#pragma once

#include <cstdint>
#include <string>

#include "model/task_spec.h"
#include "model/upstream_info.h"

namespace jaymast {

/// Upstream with 32 processors, 128 GB and 8 slots, in one of three failure domains with eight upstreams per rack.
inline UpstreamInfo TestUpstream(int number) {
  UpstreamInfo info;
  info.id = UpstreamId("u" + std::to_string(number));
  info.domain = DomainId("d" + std::to_string(number % 3));
  info.rack = "r" + std::to_string(number / 24);
  info.capacity = {32'000, 131'072, 0, 8};
  info.connections = 64;
  return info;
}

inline TaskSpec TestTask(const std::string& id, WorkClass work_class, const Resources& demand) {
  TaskSpec spec;
  spec.id = TaskId(id);
  spec.team = TeamId("team");
  spec.kind = "kind";
  spec.work_class = work_class;
  spec.demand = demand;
  spec.declared_run_ms = 10'000;
  return spec;
}

}  // namespace jaymast
