#include "tasks/task_queue.h"

#include <utility>

namespace jaymast {

void TaskQueue::Push(WorkClass work_class, const TeamId& team, const TaskId& task) {
  if (!m_waiting.insert(task).second) return;
  m_classes.at(static_cast<std::size_t>(work_class)).teams[team].push_back(task);
}

void TaskQueue::Erase(const TaskId& task) { m_waiting.erase(task); }

std::optional<TaskId> TaskQueue::Pop(WorkClass work_class) {
  ClassQueue& queue = m_classes.at(static_cast<std::size_t>(work_class));
  while (!queue.teams.empty()) {
    auto team = queue.teams.upper_bound(queue.last_served);
    if (team == queue.teams.end()) team = queue.teams.begin();
    queue.last_served = team->first;
    std::optional<TaskId> found;
    while (!team->second.empty() && !found) {
      TaskId task = std::move(team->second.front());
      team->second.pop_front();
      if (m_waiting.erase(task) > 0) found = std::move(task);
    }
    if (team->second.empty()) queue.teams.erase(team);
    if (found) return found;
  }
  return std::nullopt;
}

}  // namespace jaymast
