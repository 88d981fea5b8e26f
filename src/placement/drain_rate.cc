#include "placement/drain_rate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace jaymast {
namespace {

/// Covers several rounds of offers and follows load changes within seconds.
constexpr std::chrono::duration<double> kTimeConstant = std::chrono::seconds(10);

double DecayFactor(Duration elapsed) {
  return std::exp(-std::chrono::duration<double>(std::max(elapsed, Duration::zero())) / kTimeConstant);
}

}  // namespace

void DrainRate::OnDequeued(std::size_t tasks, Time now) {
  m_rate = PerSecond(now) + static_cast<double>(tasks) / kTimeConstant.count();
  m_updated = std::max(m_updated, now);
}

double DrainRate::PerSecond(Time now) const { return m_rate * DecayFactor(now - m_updated); }

}  // namespace jaymast
