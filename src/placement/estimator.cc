#include "placement/estimator.h"

#include <algorithm>

namespace jaymast {

void Estimator::Record(const TaskSpec& spec, std::int64_t run_ms, const Resources& peak_usage) {
  Estimate& longest = m_longest[{spec.team, spec.kind}];
  longest.run_ms = std::max(longest.run_ms, run_ms);
  longest.size.memory_mb = std::max(longest.size.memory_mb, peak_usage.memory_mb);
}

Estimate Estimator::For(const TaskSpec& spec) const {
  const auto known = m_longest.find({spec.team, spec.kind});
  return known == m_longest.end() ? Estimate{spec.declared_run_ms, spec.demand} : known->second;
}

}  // namespace jaymast
