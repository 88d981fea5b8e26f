#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "core/upstream_protocol.h"
#include "model/task_spec.h"

namespace jaymast {

class FairShare;

/// A request for capacity that waits at the owner of upstreams.
struct WaitingTask {
  AttemptId id;
  TaskSpec spec;
  EntryId from;  ///< entry that asked
  Time since;
  Time deadline;  ///< dropped when it is not placed by then
};

/// Requests that wait for capacity at an owner, served by class of work and then by fair share.
class AdmissionQueue {
 public:
  AdmissionQueue(const FairShare& fair_share, std::size_t max_size);

  /// @return false when the queue is full and the task was not added
  bool Push(WaitingTask task);
  void Erase(const AttemptId& id);
  std::size_t size() const { return m_tasks.size(); }

  /// Offers waiting tasks in policy order to `place`, which returns whether it took the task. Taken tasks leave the
  /// queue.
  void Dispatch(Time now, const std::function<bool(const WaitingTask&)>& place);

  /// Removes and returns the tasks whose deadline has passed.
  std::vector<WaitingTask> TakeExpired(Time now);

 private:
  std::vector<AttemptId> Order(Time now) const;

  const FairShare& m_fair_share;
  std::size_t m_max_size;
  std::map<AttemptId, WaitingTask> m_tasks;
};

}  // namespace jaymast
