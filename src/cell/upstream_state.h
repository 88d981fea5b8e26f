#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/job.h"
#include "jobs/upstream_listing.h"

namespace jaymast {

/// What the leader knows of one upstream.
struct UpstreamState {
  UpstreamListing listing;
  bool is_listed = false;
  bool is_adopted = false;  ///< answered a sync under the token of this epoch
  Resources allocated;      ///< room held by assigned tasks
  std::vector<TaskKey> tasks;
  std::int64_t incarnation = 0;  ///< life whose lists were seen last

  // Fence.
  std::uint64_t token = 0;

  // Clock of the upstream, as told with the last answer.
  std::int64_t clock_ms = 0;
  Time clock_at{};

  /// When everything that was started here has surely lapsed, unless a lease is extended.
  Time leases_expire_at{};

  /// When a stop has to be sent again; not later than the first one due.
  Time next_stop = Time::max();

  // Sync.
  bool is_syncing = false;
  std::uint64_t sync_number = 0;
  Time sync_sent_at{};
  std::uint64_t sync_token = 0;
  Time next_sync{};
  Time last_reply_at{};
  int failed_syncs = 0;

  // Ends: the number of each end seen, and whether it is in the store.
  std::map<std::int64_t, bool> ends;
  std::int64_t acknowledged_end = 0;

  // Health, judged by what becomes of work.
  int consecutive_failures = 0;
  std::string last_failed_job;
  Time quarantined_until{};

  Resources FreeCapacity() const { return listing.capacity - allocated; }

  std::int64_t ClockMsAt(Time now) const { return clock_ms + ToMillis(now - clock_at); }

  bool HasLabel(const std::string& label) const {
    return std::find(listing.labels.begin(), listing.labels.end(), label) != listing.labels.end();
  }
};

}  // namespace jaymast
