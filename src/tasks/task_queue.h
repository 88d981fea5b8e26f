#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>

#include "base/id.h"
#include "model/task_spec.h"

namespace jaymast {

/// Queues tasks at their home entry by work class, with round robin over the teams of a class.
class TaskQueue {
 public:
  void Push(WorkClass work_class, const TeamId& team, const TaskId& task);

  /// Removes a task without scanning the queue, so that mass cancellations are cheap.
  void Erase(const TaskId& task);

  /// Removes and returns the next task of a class, from the next team in round-robin order.
  std::optional<TaskId> Pop(WorkClass work_class);

  std::size_t size() const { return m_waiting.size(); }

 private:
  struct ClassQueue {
    std::map<TeamId, std::deque<TaskId>> teams;
    TeamId last_served;
  };

  std::array<ClassQueue, EnumNames<WorkClass>::kNames.size()> m_classes;
  std::set<TaskId> m_waiting;  ///< Pop() skips tasks that are not in this set
};

}  // namespace jaymast
