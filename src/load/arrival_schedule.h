#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.h"
#include "load/work_stream.h"

namespace jaymast {

/// One request of the schedule.
struct Arrival {
  Duration at;  ///< since the start of the run
  WorkStream stream = WorkStream::kPreview;
  std::size_t number = 0;  ///< counts from 0 in each stream
};

/// Arrivals a second by stream.
using StreamRates = std::array<double, EnumNames<WorkStream>::kNames.size()>;

/// Most requests of one run.
inline constexpr std::size_t kMaxArrivals = 5'000'000;

/// Arrivals of independent Poisson processes, ordered by time. The same seed gives the same schedule. It is fixed
/// before the run, so that slow answers do not delay later requests.
std::vector<Arrival> MakeSchedule(const StreamRates& rates, Duration duration, std::uint64_t seed);

}  // namespace jaymast
