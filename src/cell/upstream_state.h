#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "cell/capacity_reservation.h"
#include "jobs/job.h"
#include "jobs/upstream_listing.h"

namespace jaymast {

/// State of one upstream as known to the leader.
struct UpstreamState {
  UpstreamListing listing;
  bool is_listed = false;
  bool is_adopted = false;  ///< has replied to a sync with a fencing token of this epoch
  Resources allocated;      ///< capacity held by assigned tasks
  Resources allocated_to_long_running;
  /// Part of `allocated` that is held by tasks that make way for a waiting gang, by its first member.
  std::map<TaskKey, Resources> backfilled;
  std::vector<TaskKey> tasks;
  std::int64_t incarnation = 0;  ///< of the last sync reply

  // Fencing token for the next order.
  std::uint64_t token = 0;

  // Clock of the upstream as of the last reply.
  std::int64_t clock_ms = 0;
  Time clock_at{};

  /// When the leases of all runs started here have expired, unless they are extended.
  Time leases_expire_at{};

  /// End of the leases as recorded for a successor, on the clock of the store, 0 if it is not recorded. Leases are not
  /// extended while it is.
  std::int64_t recorded_lease_end_ms = 0;
  bool withdraws_lease_bound = false;  ///< the next transaction removes the recorded end

  /// When a stop has to be sent again; not later than the first one due.
  Time next_stop = Time::max();

  // Sync.
  bool is_syncing = false;
  std::uint64_t sync_number = 0;  ///< of the last sync; replies to earlier ones are ignored
  Time sync_sent_at{};
  std::uint64_t sync_token = 0;  ///< fencing token of the last sync
  Time next_sync{};
  Duration sync_pause{};  ///< between the last reply and the next sync
  Time last_reply_at{};
  Duration unobserved{};  ///< time before the last reply in which an end was not reported at once
  int failed_syncs = 0;

  // Reported ends by number, and whether each is committed to the store.
  std::map<std::int64_t, bool> ends;
  std::int64_t acknowledged_end = 0;

  // Relative to the mean upstream, as of the last placement pass.
  double speed = 1;
  double low_speed = 1;  ///< exceeded with high probability

  /// As of the last placement pass; an upstream is reserved for one gang at most.
  std::optional<CapacityReservation> reservation;

  // Health, derived from the results of runs.
  int consecutive_failures = 0;
  std::string last_failed_job;
  Time quarantined_until{};

  Resources FreeCapacity() const { return listing.capacity - allocated; }
  /// Capacity that is free once the tasks that make way for the gang are stopped.
  Resources VacatableCapacity(const TaskKey& gang) const {
    const auto found = backfilled.find(gang);
    return found == backfilled.end() ? FreeCapacity() : FreeCapacity() + found->second;
  }
  /// Capacity that becomes free by itself.
  Resources AttainableCapacity() const { return listing.capacity - allocated_to_long_running; }

  std::int64_t ClockMsAt(Time now) const { return clock_ms + ToMillis(now - clock_at); }

  bool HasLabel(const std::string& label) const {
    return std::find(listing.labels.begin(), listing.labels.end(), label) != listing.labels.end();
  }
};

}  // namespace jaymast
