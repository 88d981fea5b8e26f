#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/resources.h"
#include "base/time.h"
#include "placement/upstream_table.h"

namespace jaymast {

/// Reserves starts for blocked tasks, and admits other tasks only if they do not delay these starts.
///
/// A task may run on a reserved upstream if its expected end is not after the reserved start, or if it fits into the
/// capacity that the blocked task leaves free.
class Backfill {
 public:
  using Index = UpstreamTable::Index;
  using TaskHash = std::uint64_t;

  /// Maximum number of reservations. Each one keeps an upstream from starting long tasks.
  static constexpr std::size_t kMaxReservations = 16;

  struct Reservation {
    TaskHash task = 0;
    Index upstream = 0;
    Time start;    ///< when the blocked task is expected to fit
    Time expires;  ///< dropped then: the estimates were wrong or the task is gone
    Resources demand;
    Resources spare;  ///< free capacity at `start` beside the blocked task
  };

  /// Records that a task starts on an upstream.
  void OnStart(Index upstream, TaskHash task, const Resources& demand, Time expected_end);
  void OnEnd(Index upstream, TaskHash task, const Resources& demand);
  void OnUpstreamRemoved(Index upstream);

  /// Reserves the earliest expected start over all upstreams, replacing an earlier reservation of the task.
  /// @return the reservation, or nothing if no upstream can hold the demand or kMaxReservations is reached
  /// Complexity: linear in upstreams and running tasks.
  std::optional<Reservation> Reserve(const UpstreamTable& table, TaskHash task, const Resources& demand,
                                     std::optional<Index> domain, Time now);
  void Cancel(TaskHash task);
  void Expire(Time now);

  /// Whether a task can start on the upstream without delaying a reserved start.
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

  std::vector<std::vector<Running>> m_running;  ///< indexed by upstream
  std::vector<Reservation> m_reservations;
};

}  // namespace jaymast
