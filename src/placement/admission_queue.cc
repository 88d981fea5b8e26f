#include "placement/admission_queue.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include "placement/fair_share.h"

namespace jaymast {
namespace {

/// Position of a class of work in the order of service, indexed by WorkClass.
constexpr std::array<int, 5> kClassRank = {0, 1, 2, 4, 3};

}  // namespace

AdmissionQueue::AdmissionQueue(const FairShare& fair_share, std::size_t max_size)
    : m_fair_share(fair_share), m_max_size(max_size) {}

bool AdmissionQueue::Push(WaitingTask task) {
  if (m_tasks.size() >= m_max_size) return false;
  const AttemptId id = task.id;
  m_tasks.insert_or_assign(id, std::move(task));
  return true;
}

void AdmissionQueue::Erase(const AttemptId& id) { m_tasks.erase(id); }

std::vector<AttemptId> AdmissionQueue::Order(Time now) const {
  std::vector<std::tuple<int, double, Time, AttemptId>> order;
  for (const auto& [id, task] : m_tasks) {
    const int rank = kClassRank.at(static_cast<std::size_t>(task.spec.work_class));
    order.emplace_back(rank, m_fair_share.Score(task.spec.team, now), task.since, id);
  }
  std::sort(order.begin(), order.end());
  std::vector<AttemptId> ids;
  for (auto& entry : order) ids.push_back(std::move(std::get<3>(entry)));
  return ids;
}

void AdmissionQueue::Dispatch(Time now, const std::function<bool(const WaitingTask&)>& place) {
  for (const AttemptId& id : Order(now)) {
    const auto task = m_tasks.find(id);
    if (task != m_tasks.end() && place(task->second)) m_tasks.erase(id);
  }
}

std::vector<WaitingTask> AdmissionQueue::TakeExpired(Time now) {
  std::vector<WaitingTask> expired;
  for (auto task = m_tasks.begin(); task != m_tasks.end();) {
    if (task->second.deadline <= now) {
      expired.push_back(std::move(task->second));
      task = m_tasks.erase(task);
    } else {
      ++task;
    }
  }
  return expired;
}

}  // namespace jaymast
