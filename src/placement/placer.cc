#include "placement/placer.h"

#include <tuple>

namespace jaymast {

Placer::Placer(std::uint64_t /*seed*/) {}

void Placer::SetPolicies(const std::map<WorkClass, std::string>& /*policies*/) {}

void Placer::PutUpstream(const UpstreamInfo& info) { m_workers[info.id].info = info; }

void Placer::RemoveUpstream(const UpstreamId& id) { m_workers.erase(id); }

void Placer::SetEligible(const UpstreamId& id, bool eligible) {
  const auto worker = m_workers.find(id);
  if (worker != m_workers.end()) worker->second.eligible = eligible;
}

Result<UpstreamId> Placer::Choose(const TaskSpec& spec, Time /*now*/) {
  const UpstreamId* best = nullptr;
  std::int64_t best_free = 0;
  for (const auto& [id, worker] : m_workers) {
    if (!worker.eligible) continue;
    const Resources free = worker.info.capacity - worker.used;
    if (!spec.demand.FitsIn(free)) continue;
    if (best == nullptr || free.slots > best_free) {
      best = &id;
      best_free = free.slots;
    }
  }
  if (best == nullptr) return Error{ErrorId::kNoCapacity, "/demand", "no eligible upstream has enough free capacity"};
  return *best;
}

void Placer::Reserve(const UpstreamId& id, const TaskSpec& spec, Time /*now*/) {
  const auto worker = m_workers.find(id);
  if (worker != m_workers.end()) worker->second.used += spec.demand;
}

void Placer::Release(const UpstreamId& id, const TaskSpec& spec, Time /*now*/) {
  const auto worker = m_workers.find(id);
  if (worker != m_workers.end()) worker->second.used -= spec.demand;
}

Resources Placer::Free() const {
  Resources free;
  for (const auto& [id, worker] : m_workers) {
    if (worker.eligible) free += worker.info.capacity - worker.used;
  }
  return free;
}

Resources Placer::LargestFree() const {
  Resources largest;
  for (const auto& [id, worker] : m_workers) {
    const Resources free = worker.info.capacity - worker.used;
    if (worker.eligible && free.cpu_millis > largest.cpu_millis) largest = free;
  }
  return largest;
}

Resources Placer::Capacity() const {
  Resources capacity;
  for (const auto& [id, worker] : m_workers) capacity += worker.info.capacity;
  return capacity;
}

Resources Placer::Used(const UpstreamId& id) const {
  const auto worker = m_workers.find(id);
  return worker == m_workers.end() ? Resources{} : worker->second.used;
}

}  // namespace jaymast
