#include "cell/upstream_selector.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jaymast {
namespace {

/// Width of a class of speeds, as a natural logarithm. Estimates have a standard error of about a tenth.
constexpr double kClassWidth = 0.25;

}  // namespace

int UpstreamSelector::ClassOf(double speed) { return static_cast<int>(std::lround(std::log(speed) / kClassWidth)); }

bool UpstreamSelector::IsBetter(const UpstreamOption& a, const UpstreamOption& b) const {
  if (a.penalty != b.penalty) return a.penalty < b.penalty;
  const bool is_sufficient = IsSufficient(a.low_speed);
  if (is_sufficient != IsSufficient(b.low_speed)) return is_sufficient;
  const int class_a = ClassOf(a.speed);
  const int class_b = ClassOf(b.speed);
  if (class_a != class_b) return is_sufficient ? class_a < class_b : class_a > class_b;
  return a.free_share < b.free_share;
}

UpstreamOption* UpstreamSelector::ChooseForTask(std::vector<UpstreamOption>& options) const {
  UpstreamOption* best = nullptr;
  for (UpstreamOption& option : options) {
    if (option.slots > 0 && (best == nullptr || IsBetter(option, *best))) best = &option;
  }
  return best;
}

void UpstreamSelector::ChooseForGang(std::vector<UpstreamOption>& options, std::int64_t task_count) const {
  std::stable_sort(options.begin(), options.end(), [](const UpstreamOption& a, const UpstreamOption& b) {
    const int class_a = ClassOf(a.speed);
    const int class_b = ClassOf(b.speed);
    if (class_a != class_b) return class_a < class_b;
    return a.upstream->FreeCapacity().cpu_millis < b.upstream->FreeCapacity().cpu_millis;
  });
  // Each class but the first is a possible start, without the slower ones.
  std::size_t chosen = 0;
  double chosen_cost = std::numeric_limits<double>::max();
  for (std::size_t start = 0; start < options.size(); ++start) {
    if (start > 0 && ClassOf(options[start].speed) == ClassOf(options[start - 1].speed)) continue;
    std::int64_t members = 0;
    double capacity = 0;
    double slowest = std::numeric_limits<double>::max();
    double low_speed = std::numeric_limits<double>::max();
    for (std::size_t i = start; i < options.size() && members < task_count; ++i) {
      const std::int64_t here = std::min(options[i].slots, task_count - members);
      members += here;
      capacity += static_cast<double>(here) * options[i].speed;
      slowest = std::min(slowest, options[i].speed);
      low_speed = std::min(low_speed, options[i].low_speed);
    }
    if (members < task_count) break;
    // Without a set that is in time, the last start has the fastest slowest member.
    const double cost = IsSufficient(low_speed) ? capacity / slowest : std::numeric_limits<double>::max();
    if (cost < chosen_cost || chosen_cost == std::numeric_limits<double>::max()) {
      chosen = start;
      chosen_cost = cost;
    }
  }
  options.erase(options.begin(), options.begin() + static_cast<std::ptrdiff_t>(chosen));
}

}  // namespace jaymast
