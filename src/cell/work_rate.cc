#include "cell/work_rate.h"

#include <chrono>
#include <cmath>

namespace jaymast {
namespace {

constexpr double kWindowS = std::chrono::duration<double>(WorkRate::kWindow).count();

}  // namespace

double WorkRate::DecayedSum(const Average& average, Time now) {
  return average.sum * std::exp(-std::chrono::duration<double>(now - average.updated_at).count() / kWindowS);
}

void WorkRate::Add(std::int64_t priority, double amount, Time now) {
  Average& average = m_averages[priority];
  average = {DecayedSum(average, now) + amount, now};
}

double WorkRate::RateAbove(std::int64_t priority, Time now) const {
  double sum = 0;
  for (const auto& [other_priority, average] : m_averages) {
    if (other_priority >= priority) break;
    sum += DecayedSum(average, now);
  }
  return sum / kWindowS;
}

}  // namespace jaymast
