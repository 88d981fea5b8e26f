#include "load/arrival_schedule.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <chrono>

namespace jaymast {

std::vector<Arrival> MakeSchedule(const StreamRates& rates, Duration duration, std::uint64_t seed) {
  std::vector<Arrival> schedule;
  boost::random::mt19937_64 random(seed);
  for (std::size_t i = 0; i < rates.size(); ++i) {
    if (rates.at(i) <= 0) continue;
    boost::random::exponential_distribution<double> gap_seconds(rates.at(i));
    double at_seconds = gap_seconds(random);
    for (std::size_t number = 0; number < kMaxArrivals / rates.size(); ++number) {
      const Duration at = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at_seconds));
      if (at >= duration) break;
      schedule.push_back({at, static_cast<WorkStream>(i), number});
      at_seconds += gap_seconds(random);
    }
  }
  std::stable_sort(schedule.begin(), schedule.end(), [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  return schedule;
}

}  // namespace jaymast
