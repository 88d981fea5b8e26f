#include "placement/backfill.h"

#include <algorithm>
#include <chrono>

namespace jaymast {
namespace {

/// A reservation outlives its expected start by this much, for tasks that run a little longer than estimated.
constexpr Duration kGrace = std::chrono::seconds(30);

/// A task that is past its expected end is taken to end after this much.
constexpr Duration kOverdueEnd = std::chrono::seconds(1);

}  // namespace

void Backfill::OnStart(Index worker, TaskHash task, const Resources& demand, Time expected_end) {
  RunningOn(worker).push_back({task, expected_end, demand});
  for (Reservation& reservation : m_reservations) {
    const bool overlaps = reservation.worker == worker && expected_end > reservation.start;
    if (overlaps && reservation.task != task) reservation.spare -= demand;
  }
}

void Backfill::OnEnd(Index worker, TaskHash task, const Resources& demand) {
  std::vector<Running>& running = RunningOn(worker);
  const auto ended = std::find_if(running.begin(), running.end(), [&](const Running& candidate) {
    return candidate.task == task && candidate.demand == demand;
  });
  if (ended == running.end()) return;
  const Time expected_end = ended->end;
  *ended = running.back();
  running.pop_back();
  for (Reservation& reservation : m_reservations) {
    const bool overlaps = reservation.worker == worker && expected_end > reservation.start;
    if (overlaps && reservation.task != task) reservation.spare += demand;
  }
}

void Backfill::OnRemoved(Index worker) {
  RunningOn(worker).clear();
  std::erase_if(m_reservations, [worker](const Reservation& reservation) { return reservation.worker == worker; });
}

std::optional<Backfill::Reservation> Backfill::Reserve(const WorkerTable& table, TaskHash task, const Resources& demand,
                                                       std::optional<Index> domain, Time now) {
  Expire(now);
  Cancel(task);
  if (m_reservations.size() >= kMaxReservations) return std::nullopt;
  std::optional<Reservation> best;
  for (Index worker = 0; worker < table.slots(); ++worker) {
    const WorkerTable::Row& row = table.row(worker);
    if (row.open_slots == 0 || IsReserved(worker) || (domain && row.domain != *domain)) continue;
    const std::optional<Reservation> found = EarliestOn(table, worker, demand, now);
    if (found && (!best || found->start < best->start)) best = found;
  }
  if (!best) return std::nullopt;
  best->task = task;
  m_reservations.push_back(*best);
  return best;
}

void Backfill::Cancel(TaskHash task) {
  std::erase_if(m_reservations, [task](const Reservation& reservation) { return reservation.task == task; });
}

void Backfill::Expire(Time now) {
  std::erase_if(m_reservations, [now](const Reservation& reservation) { return reservation.expires <= now; });
}

bool Backfill::Allows(Index worker, TaskHash task, const Resources& demand, Time expected_end, Time now) const {
  for (const Reservation& reservation : m_reservations) {
    if (reservation.worker != worker || reservation.task == task || reservation.expires <= now) continue;
    if (expected_end > reservation.start && !demand.FitsIn(reservation.spare)) return false;
  }
  return true;
}

std::size_t Backfill::MemoryBytes() const {
  std::size_t bytes = m_running.capacity() * sizeof(std::vector<Running>);
  for (const auto& running : m_running) bytes += running.capacity() * sizeof(Running);
  return bytes + m_reservations.capacity() * sizeof(Reservation);
}

std::vector<Backfill::Running>& Backfill::RunningOn(Index worker) {
  if (worker >= m_running.size()) m_running.resize(worker + 1);
  return m_running[worker];
}

std::optional<Backfill::Reservation> Backfill::EarliestOn(const WorkerTable& table, Index worker,
                                                          const Resources& demand, Time now) const {
  if (!demand.FitsIn(table.row(worker).capacity)) return std::nullopt;
  std::vector<Running> running;
  if (worker < m_running.size()) running = m_running[worker];
  std::sort(running.begin(), running.end(), [](const Running& a, const Running& b) { return a.end < b.end; });
  Resources free = table.open(worker);
  Time start = now;
  std::size_t ended = 0;
  while (!demand.FitsIn(free) && ended < running.size()) {
    if (running[ended].end == Time::max()) return std::nullopt;
    free += running[ended].demand;
    start = std::max(running[ended].end, now + kOverdueEnd);
    ++ended;
  }
  if (!demand.FitsIn(free)) return std::nullopt;
  Reservation reservation;
  reservation.worker = worker;
  reservation.start = start;
  reservation.expires = start + kGrace;
  reservation.demand = demand;
  reservation.spare = free - demand;
  return reservation;
}

bool Backfill::IsReserved(Index worker) const {
  return std::any_of(m_reservations.begin(), m_reservations.end(),
                     [worker](const Reservation& reservation) { return reservation.worker == worker; });
}

}  // namespace jaymast
