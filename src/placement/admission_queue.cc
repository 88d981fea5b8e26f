#include "placement/admission_queue.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>
#include <utility>

#include "placement/estimator.h"

namespace jaymast {
namespace {

/// Minimum interval between searches for tasks to drop from a full queue, each of which visits the whole queue.
constexpr Duration kShedInterval = std::chrono::milliseconds(100);

}  // namespace

AdmissionQueue::AdmissionQueue(const FairShare& fair_share, std::size_t max_size)
    : m_fair_share(fair_share), m_max_size(max_size) {}

bool AdmissionQueue::Push(WaitingTask task) {
  const auto known = m_positions.find(task.id);
  if (known != m_positions.end()) {
    Extract(known->second);
  } else if (size() >= m_max_size) {
    ShedLateTasks(task.since);
    if (size() >= m_max_size) return false;
  }
  Entry entry;
  entry.run_ms = ExpectedRunMs(task.spec);
  entry.latest_start = task.deadline;
  if (task.finish_by != Time::max() && entry.run_ms != std::numeric_limits<std::int64_t>::max()) {
    entry.latest_start = std::min(task.deadline, task.finish_by - std::chrono::milliseconds(entry.run_ms));
  }
  const Position position{&GetSubQueue(task.spec), {task.since, m_next_sequence++}};
  m_positions.emplace(task.id, position);
  m_latest_starts.emplace(std::pair(entry.latest_start, position.age.second), position);
  entry.task = std::move(task);
  position.queue->entries.emplace(position.age, std::move(entry));
  return true;
}

void AdmissionQueue::Erase(const AttemptId& id) {
  const auto known = m_positions.find(id);
  if (known == m_positions.end()) return;
  Extract(known->second);
  DropEmptyQueues();
}

const WaitingTask* AdmissionQueue::Find(const AttemptId& id) const {
  const auto known = m_positions.find(id);
  if (known == m_positions.end()) return nullptr;
  return &known->second.queue->entries.at(known->second.age).task;
}

void AdmissionQueue::Prefer(const AttemptId& id) {
  if (std::find(m_preferred.begin(), m_preferred.end(), id) == m_preferred.end()) m_preferred.push_back(id);
}

std::vector<WaitingTask> AdmissionQueue::TakeExpired(Time now) {
  std::vector<WaitingTask> expired = std::exchange(m_shed, {});
  while (!m_latest_starts.empty() && m_latest_starts.begin()->first.first <= now) {
    const Position position = m_latest_starts.begin()->second;
    expired.push_back(Extract(position).task);
  }
  DropEmptyQueues();
  return expired;
}

std::size_t AdmissionQueue::MemoryBytes() const {
  constexpr std::size_t kNodeBytes = 48;  // overhead of a tree or hash table node
  std::size_t bytes = sizeof(*this) + m_queues.size() * (sizeof(QueueKey) + sizeof(SubQueue) + kNodeBytes);
  bytes += m_positions.size() * (sizeof(AttemptId) + 2 * sizeof(Position) + sizeof(Time) + 3 * kNodeBytes);
  for (const auto& [key, queue] : m_queues) {
    for (const auto& [age, entry] : queue.entries) bytes += sizeof(Age) + sizeof(Entry) + entry.task.spec.body.size();
  }
  return bytes;
}

AdmissionQueue::SubQueue& AdmissionQueue::GetSubQueue(const TaskSpec& spec) {
  SubQueue& queue = m_queues[{spec.work_class, spec.team, spec.domain}];
  queue.work_class = spec.work_class;
  return queue;
}

std::int64_t AdmissionQueue::ExpectedRunMs(const TaskSpec& spec) const {
  const std::int64_t run_ms = m_estimator == nullptr ? spec.declared_run_ms : m_estimator->EstimateFor(spec).run_ms;
  return run_ms > 0 ? run_ms : std::numeric_limits<std::int64_t>::max();
}

AdmissionQueue::Entry AdmissionQueue::Extract(const Position& position) {
  SubQueue& queue = *position.queue;
  const Age age = position.age;
  auto node = queue.entries.extract(age);
  Entry entry = std::move(node.mapped());
  m_latest_starts.erase({entry.latest_start, age.second});
  std::erase(m_preferred, entry.task.id);
  m_positions.erase(entry.task.id);
  if (m_offering) m_removed.push_back(std::move(node));
  return entry;
}

void AdmissionQueue::ShedLateTasks(Time now) {
  if (now < m_next_shed) return;
  m_next_shed = now + kShedInterval;
  std::array<std::size_t, EnumNames<WorkClass>::kNames.size() + 1> tasks_of_rank{};
  std::array<std::size_t, EnumNames<WorkClass>::kNames.size() + 1> queues_of_rank{};
  for (const auto& [key, queue] : m_queues) {
    const auto rank = static_cast<std::size_t>(RankOf(queue.work_class, now, now));
    tasks_of_rank.at(rank) += queue.entries.size();
    ++queues_of_rank.at(rank);
  }
  std::vector<Position> late;
  for (auto& [key, queue] : m_queues) {
    const auto rank = static_cast<std::size_t>(RankOf(queue.work_class, now, now));
    std::size_t ahead = 0;
    for (std::size_t higher = 0; higher < rank; ++higher) ahead += tasks_of_rank.at(higher);
    for (const auto& [age, entry] : queue.entries) {
      if (!MeetsDeadline(entry, ahead, now)) late.push_back({&queue, age});
      // The sub-queues of a rank are served in turn.
      ahead += queues_of_rank.at(rank);
    }
  }
  for (const Position& position : late) m_shed.push_back(Extract(position).task);
  DropEmptyQueues();
}

bool AdmissionQueue::MeetsDeadline(const Entry& entry, std::size_t ahead, Time now) const {
  if (entry.latest_start <= now) return false;
  const double rate = m_drain_rate.PerSecond(now);
  // The waiting time is unknown without a measured rate.
  if (rate <= 0) return true;
  const std::chrono::duration<double> wait(static_cast<double>(ahead) / rate);
  return wait <= std::chrono::duration<double>(entry.latest_start - now);
}

void AdmissionQueue::DropEmptyQueues() {
  // A round of offers keeps pointers to sub-queues.
  if (m_offering) return;
  std::erase_if(m_queues, [](const auto& queue) { return queue.second.entries.empty(); });
}

}  // namespace jaymast
