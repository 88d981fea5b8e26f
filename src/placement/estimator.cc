#include "placement/estimator.h"

#include <algorithm>
#include <vector>

namespace jaymast {
namespace {

constexpr std::size_t kPercentile = 90;

}  // namespace

void Estimator::Record(const TaskSpec& spec, std::int64_t run_ms, const Resources& peak_usage) {
  Kind& kind = Touch(KeyOf(spec));
  kind.window[kind.next] = {run_ms, peak_usage.cpu_millis, peak_usage.memory_mb};
  kind.next = (kind.next + 1) % kWindow;
  kind.count = std::min(kind.count + 1, kWindow);
  kind.learned = Quantiles(kind, spec, 0);
}

bool Estimator::HasEnoughObservations(const TaskSpec& spec) const {
  const auto kind = m_kinds.find(KeyOf(spec));
  return kind != m_kinds.end() && kind->second.count >= kMinObservations;
}

Estimate Estimator::EstimateFor(const TaskSpec& spec) const {
  const auto known = m_kinds.find(KeyOf(spec));
  if (known == m_kinds.end()) return {spec.declared_run_ms, spec.demand};
  const Kind& kind = known->second;
  if (kind.count < kMinObservations) return Quantiles(kind, spec, kPriorWeight);
  Estimate estimate = kind.learned;
  estimate.size.accelerators = spec.demand.accelerators;
  estimate.size.slots = spec.demand.slots;
  return estimate;
}

std::size_t Estimator::MemoryBytes() const {
  constexpr std::size_t kNodeBytes = 64;  // overhead of the hash table node and the list node
  std::size_t bytes = sizeof(*this);
  for (const auto& [key, kind] : m_kinds) {
    bytes += sizeof(Kind) + 2 * (sizeof(std::string) + key.capacity()) + kNodeBytes;
  }
  return bytes;
}

std::string Estimator::KeyOf(const TaskSpec& spec) { return spec.team.value() + '\0' + spec.kind; }

std::int64_t Estimator::Quantile(const Kind& kind, std::int64_t Observation::*member, std::int64_t declared,
                                 std::size_t prior_weight) {
  std::vector<std::int64_t> values(prior_weight, declared);
  values.reserve(prior_weight + kind.count);
  for (std::size_t i = 0; i < kind.count; ++i) values.push_back(kind.window.at(i).*member);
  const std::size_t rank = (values.size() * kPercentile + 99) / 100 - 1;
  const auto nth = values.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

Estimate Estimator::Quantiles(const Kind& kind, const TaskSpec& spec, std::size_t prior_weight) {
  Estimate estimate{0, spec.demand};
  // A run time of 0 is unknown and no prior.
  const std::size_t run_weight = spec.declared_run_ms > 0 ? prior_weight : 0;
  estimate.run_ms = Quantile(kind, &Observation::run_ms, spec.declared_run_ms, run_weight);
  estimate.size.cpu_millis = Quantile(kind, &Observation::cpu_millis, spec.demand.cpu_millis, prior_weight);
  estimate.size.memory_mb = Quantile(kind, &Observation::memory_mb, spec.demand.memory_mb, prior_weight);
  return estimate;
}

Estimator::Kind& Estimator::Touch(const std::string& key) {
  const auto known = m_kinds.find(key);
  if (known != m_kinds.end()) {
    m_lru.splice(m_lru.begin(), m_lru, known->second.lru_position);
    return known->second;
  }
  if (m_kinds.size() >= kMaxKinds) {
    m_kinds.erase(m_lru.back());
    m_lru.pop_back();
  }
  m_lru.push_front(key);
  Kind& kind = m_kinds[key];
  kind.lru_position = m_lru.begin();
  return kind;
}

}  // namespace jaymast
