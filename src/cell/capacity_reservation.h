#pragma once

#include "base/resources.h"
#include "base/time.h"
#include "jobs/job.h"

namespace jaymast {

/// Capacity of one upstream that is reserved for members of a waiting gang, within one placement pass.
struct CapacityReservation {
  TaskKey gang;                   ///< first member
  Time starts_at = Time::max();   ///< when the gang is expected to fit at the earliest, Time::max() if unknown
  Resources spare;                ///< capacity beside the members from then on
  bool is_service_busy = false;   ///< at least half of the capacity of the service is in use
  bool is_being_vacated = false;  ///< backfilled tasks are being stopped so that the gang can start
};

}  // namespace jaymast
