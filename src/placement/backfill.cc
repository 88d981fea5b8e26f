#include "placement/backfill.h"

#include <algorithm>
#include <chrono>

namespace jaymast {
namespace {

/// A reservation is kept for this long after its start, for tasks that run slightly longer than estimated.
constexpr Duration kReservationGrace = std::chrono::seconds(30);

/// Assumed remaining run time of a task that is past its expected end.
constexpr Duration kOverdueRemaining = std::chrono::seconds(1);

}  // namespace

void Backfill::OnStart(Index upstream, TaskHash task, const Resources& demand, Time expected_end) {
  RunningOn(upstream).push_back({task, expected_end, demand});
  for (Reservation& reservation : m_reservations) {
    const bool overlaps = reservation.upstream == upstream && expected_end > reservation.start;
    if (overlaps && reservation.task != task) reservation.spare -= demand;
  }
}

void Backfill::OnEnd(Index upstream, TaskHash task, const Resources& demand) {
  std::vector<Running>& running = RunningOn(upstream);
  const auto ended = std::find_if(running.begin(), running.end(), [&](const Running& candidate) {
    return candidate.task == task && candidate.demand == demand;
  });
  if (ended == running.end()) return;
  const Time expected_end = ended->end;
  *ended = running.back();
  running.pop_back();
  for (Reservation& reservation : m_reservations) {
    const bool overlaps = reservation.upstream == upstream && expected_end > reservation.start;
    if (overlaps && reservation.task != task) reservation.spare += demand;
  }
}

void Backfill::OnUpstreamRemoved(Index upstream) {
  RunningOn(upstream).clear();
  std::erase_if(m_reservations,
                [upstream](const Reservation& reservation) { return reservation.upstream == upstream; });
}

std::optional<Backfill::Reservation> Backfill::Reserve(const UpstreamTable& table, TaskHash task,
                                                       const Resources& demand, std::optional<Index> domain, Time now) {
  Expire(now);
  Cancel(task);
  if (m_reservations.size() >= kMaxReservations) return std::nullopt;
  std::optional<Reservation> best;
  for (Index upstream = 0; upstream < table.slots(); ++upstream) {
    const UpstreamTable::Row& row = table.row(upstream);
    if (row.schedulable_slots == 0 || HasReservation(upstream) || (domain && row.domain != *domain)) continue;
    const std::optional<Reservation> found = FindEarliestStart(table, upstream, demand, now);
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

bool Backfill::Allows(Index upstream, TaskHash task, const Resources& demand, Time expected_end, Time now) const {
  for (const Reservation& reservation : m_reservations) {
    if (reservation.upstream != upstream || reservation.task == task || reservation.expires <= now) continue;
    if (expected_end > reservation.start && !demand.FitsIn(reservation.spare)) return false;
  }
  return true;
}

std::size_t Backfill::MemoryBytes() const {
  std::size_t bytes = m_running.capacity() * sizeof(std::vector<Running>);
  for (const auto& running : m_running) bytes += running.capacity() * sizeof(Running);
  return bytes + m_reservations.capacity() * sizeof(Reservation);
}

std::vector<Backfill::Running>& Backfill::RunningOn(Index upstream) {
  if (upstream >= m_running.size()) m_running.resize(upstream + 1);
  return m_running[upstream];
}

std::optional<Backfill::Reservation> Backfill::FindEarliestStart(const UpstreamTable& table, Index upstream,
                                                                 const Resources& demand, Time now) const {
  if (!demand.FitsIn(table.row(upstream).capacity)) return std::nullopt;
  std::vector<Running> running;
  if (upstream < m_running.size()) running = m_running[upstream];
  std::sort(running.begin(), running.end(), [](const Running& a, const Running& b) { return a.end < b.end; });
  Resources free = table.schedulable_free(upstream);
  Time start = now;
  std::size_t ended = 0;
  while (!demand.FitsIn(free) && ended < running.size()) {
    if (running[ended].end == Time::max()) return std::nullopt;
    free += running[ended].demand;
    start = std::max(running[ended].end, now + kOverdueRemaining);
    ++ended;
  }
  if (!demand.FitsIn(free)) return std::nullopt;
  Reservation reservation;
  reservation.upstream = upstream;
  reservation.start = start;
  reservation.expires = start + kReservationGrace;
  reservation.demand = demand;
  reservation.spare = free - demand;
  return reservation;
}

bool Backfill::HasReservation(Index upstream) const {
  return std::any_of(m_reservations.begin(), m_reservations.end(),
                     [upstream](const Reservation& reservation) { return reservation.upstream == upstream; });
}

}  // namespace jaymast
