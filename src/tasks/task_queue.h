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

/// Tasks that wait at their home entry: by class of work, and round robin over the teams within a class.
class TaskQueue {
 public:
  void Push(WorkClass work_class, const TeamId& team, const TaskId& task);

  /// Removes a task. The cost does not depend on the number of waiting tasks, so a wave of cancellations is cheap.
  void Erase(const TaskId& task);

  /// Takes the next task of a class, from the team that was served least recently.
  std::optional<TaskId> Pop(WorkClass work_class);

  std::size_t size() const { return m_waiting.size(); }

 private:
  struct ClassQueue {
    std::map<TeamId, std::deque<TaskId>> teams;
    TeamId last_served;
  };

  std::array<ClassQueue, EnumNames<WorkClass>::kNames.size()> m_classes;
  std::set<TaskId> m_waiting;  ///< a task that is not here any more is skipped by Pop()
};

}  // namespace jaymast
