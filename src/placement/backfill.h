#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/resources.h"
#include "base/time.h"
#include "placement/upstream_table.h"

namespace jaymast {

/// Reserves a start for a blocked task on a worker, and admits other tasks there only if they do not delay it.
///
/// A task may be placed on a reserved worker if its expected end is not after the reserved start, or if it fits into
/// the capacity that the blocked task leaves.
class Backfill {
 public:
  using Index = UpstreamTable::Index;
  using TaskHash = std::uint64_t;

  /// Most reservations at once. Each one keeps a worker from starting long tasks, so few blocked tasks get one.
  static constexpr std::size_t kMaxReservations = 16;

  struct Reservation {
    TaskHash task = 0;
    Index upstream = 0;
    Time start;    ///< when the blocked task is expected to fit
    Time expires;  ///< dropped then, because the estimates were wrong or the task is gone
    Resources demand;
    Resources spare;  ///< free capacity at `start` that the blocked task leaves
  };

  /// Records the expected end of a task that starts on a worker.
  void OnStart(Index upstream, TaskHash task, const Resources& demand, Time expected_end);
  void OnEnd(Index upstream, TaskHash task, const Resources& demand);
  void OnUpstreamRemoved(Index upstream);

  /// Reserves the earliest expected start over all workers, replacing an earlier reservation of the task.
  /// @return the reservation, or nothing when no worker can hold the demand or too many tasks have a reservation
  /// Complexity: linear in workers and running tasks.
  std::optional<Reservation> Reserve(const UpstreamTable& table, TaskHash task, const Resources& demand,
                                     std::optional<Index> domain, Time now);
  void Cancel(TaskHash task);

  /// Drops the reservations that have expired.
  void Expire(Time now);

  /// Whether a task may start on the worker without delaying a reserved start there.
  bool Allows(Index upstream, TaskHash task, const Resources& demand, Time expected_end, Time now) const;

  const std::vector<Reservation>& reservations() const { return m_reservations; }
  std::size_t MemoryBytes() const;

 private:
  struct Running {
    TaskHash task = 0;
    Time end;
    Resources demand;
  };

  std::vector<Running>& RunningOn(Index upstream);
  std::optional<Reservation> FindEarliestStart(const UpstreamTable& table, Index upstream, const Resources& demand,
                                               Time now) const;
  bool HasReservation(Index upstream) const;

  std::vector<std::vector<Running>> m_running;  ///< indexed by worker
  std::vector<Reservation> m_reservations;
};

}  // namespace jaymast
