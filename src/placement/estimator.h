#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "base/id.h"
#include "base/resources.h"
#include "model/task_spec.h"

namespace jaymast {

/// Expected run time and size of a task.
struct Estimate {
  std::int64_t run_ms = 0;
  Resources size;
};

/// Learns run time and size per team and kind from finished tasks. Declared values are only a prior.
class Estimator {
 public:
  void Record(const TaskSpec& spec, std::int64_t run_ms, const Resources& peak_usage);
  Estimate For(const TaskSpec& spec) const;

 private:
  std::map<std::pair<TeamId, std::string>, Estimate> m_longest;
};

}  // namespace jaymast
