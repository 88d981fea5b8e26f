#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "cell/run_end_estimate.h"
#include "cell/scheduler.h"
#include "jobs/job_record.h"

namespace jaymast {
namespace {

/// Capacity is reserved for a gang after it has waited this long.
constexpr Duration kReservationDelay{1'500'000};
/// While less than half of a service is in use, reserved capacity keeps a step waiting for this time at most, and only
/// if the gang is expected to start within it. With kVacatingTime and the delay of a start this stays below 3 s, the
/// longest time for which an accepted job may have nothing running then.
constexpr Duration kMaxHeldBack{1'500'000};
/// Time in which the ends of stopped tasks are reported and the gang is placed.
constexpr Duration kVacatingTime{1'000'000};
/// If the gang has not started by then, tasks are stopped for it again only after this time.
constexpr Duration kVacatingInterval{10'000'000};
/// Tickets of the gang must stay valid while tasks are stopped for it.
constexpr Duration kVacatingTicketMargin{600'000};
/// Bound of expected run times, so that times computed from them do not overflow.
constexpr double kMaxExpectedRunMs = 1e12;
/// Time between two events about the reservation of one gang.
constexpr Duration kReservationReportInterval{5'000'000};

Resources Multiply(const Resources& demand, std::int64_t tasks) {
  return {demand.cpu_millis * tasks, demand.memory_mb * tasks, demand.accelerators * tasks, demand.slots * tasks};
}

/// The smaller amount of each resource, and at least 0.
Resources Smaller(const Resources& a, const Resources& b) {
  const auto smaller = [](std::int64_t x, std::int64_t y) { return std::max<std::int64_t>(0, std::min(x, y)); };
  return {smaller(a.cpu_millis, b.cpu_millis), smaller(a.memory_mb, b.memory_mb),
          smaller(a.accelerators, b.accelerators), smaller(a.slots, b.slots)};
}

}  // namespace

bool Scheduler::MayReserveUpstreams(const StepRef& ref) const {
  if (ref.urgency > Urgency::kTimely || m_now - ref.job->accepted < kReservationDelay) return false;
  return ref.job->spec.steps[ref.step].total_demand().FitsIn(TeamFreeCapacity(ref.job->team));
}

std::vector<Scheduler::ReservedPlaces> Scheduler::ChooseReservedPlaces(
    const StepRef& ref, const std::vector<UpstreamState*>& candidates) const {
  const StepSpec& spec = ref.job->spec.steps[ref.step];
  const TaskKey gang{ref.job->id, ref.occurrence, ref.step, 0};
  std::vector<UpstreamState*> ordered = candidates;
  const UpstreamSelector selector(RequiredSpeed(ref));
  std::stable_sort(ordered.begin(), ordered.end(), [&](const UpstreamState* a, const UpstreamState* b) {
    const bool is_sufficient = selector.IsSufficient(a->low_speed);
    if (is_sufficient != selector.IsSufficient(b->low_speed)) return is_sufficient;
    return a->VacatableCapacity(gang).cpu_millis > b->VacatableCapacity(gang).cpu_millis;
  });
  std::vector<ReservedPlaces> places;
  std::int64_t missing = spec.task_count;
  for (UpstreamState* upstream : ordered) {
    if (missing == 0) break;
    const std::int64_t members = std::min(missing, CountSlots(ref, *upstream, upstream->AttainableCapacity()));
    if (members == 0) continue;
    places.push_back({upstream, members, Multiply(spec.allocated_resources(), members)});
    missing -= members;
  }
  return places;
}

void Scheduler::ReserveUpstreams(const StepRef& ref, const std::vector<UpstreamState*>& candidates) {
  const std::vector<ReservedPlaces> places = ChooseReservedPlaces(ref, candidates);
  const auto is_reserved = [](const ReservedPlaces& place) { return place.upstream->reservation.has_value(); };
  if (std::all_of(places.begin(), places.end(), is_reserved)) return;
  const StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  CapacityReservation reservation;
  reservation.gang = {ref.job->id, ref.occurrence, ref.step, 0};
  reservation.is_service_busy = IsServiceBusy(QueueOf(*ref.job)->service);
  const bool is_report_due = m_now >= step.next_reservation_report_at;
  // The expected ends of all tasks on the upstreams are costly, and only used while the service is not busy.
  if (!reservation.is_service_busy || is_report_due) reservation.starts_at = ExpectedStart(reservation.gang, places);
  std::int64_t members = 0;
  for (const ReservedPlaces& place : places) members += place.members;
  // Capacity that is reserved for a gang before this one is not vacated for it.
  const bool has_own_places =
      members == ref.job->spec.steps[ref.step].task_count && std::none_of(places.begin(), places.end(), is_reserved);
  if (has_own_places) VacateReservedPlaces(ref, places);
  reservation.is_being_vacated = m_now < step.vacating_until;
  for (const ReservedPlaces& place : places) {
    if (is_reserved(place)) continue;
    reservation.spare = reservation.is_service_busy
                            ? place.upstream->FreeCapacity() - place.demand
                            : ExpectedSpare(*place.upstream, reservation.gang, place.demand, reservation.starts_at);
    place.upstream->reservation = reservation;
  }
  if (is_report_due) ReportReservation(ref, places, reservation.starts_at);
}

Time Scheduler::ExpectedStart(const TaskKey& gang, const std::vector<ReservedPlaces>& places) {
  Time starts_at = m_now;
  for (const ReservedPlaces& place : places) {
    starts_at = std::max(starts_at, ExpectedFit(*place.upstream, gang, place.demand));
  }
  return starts_at;
}

bool Scheduler::HasTicketsFor(const StepRef& ref, const std::vector<ReservedPlaces>& places) const {
  if (!QueueOf(*ref.job)->policy) return true;
  const auto& tickets = ref.job->occurrences.at(ref.occurrence).steps[ref.step].tickets;
  return std::all_of(places.begin(), places.end(), [this, &tickets](const ReservedPlaces& place) {
    const auto ticket = tickets.find(place.upstream->listing.id);
    return ticket != tickets.end() && ticket->second.expiry > m_now + kVacatingTicketMargin;
  });
}

void Scheduler::VacateReservedPlaces(const StepRef& ref, const std::vector<ReservedPlaces>& places) {
  StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  if (m_now < step.next_vacating_at || !HasTicketsFor(ref, places)) return;
  const TaskKey gang{ref.job->id, ref.occurrence, ref.step, 0};
  const bool can_start = std::all_of(places.begin(), places.end(), [&gang](const ReservedPlaces& place) {
    return place.demand.FitsIn(place.upstream->VacatableCapacity(gang));
  });
  if (!can_start) return;
  int stopped = 0;
  for (const ReservedPlaces& place : places) stopped += VacateUpstream(*place.upstream, gang, place.demand);
  if (stopped == 0) return;
  step.vacating_until = m_now + kVacatingTime;
  step.next_vacating_at = m_now + kVacatingInterval;
  m_ports.events.Emit("gang.vacating", {{"step", FormatStepKey(gang)},
                                        {"waited_ms", std::to_string(ToMillis(m_now - ref.job->accepted))},
                                        {"upstreams", std::to_string(places.size())},
                                        {"stopped_tasks", std::to_string(stopped)}});
}

int Scheduler::VacateUpstream(UpstreamState& upstream, const TaskKey& gang, const Resources& demand) {
  std::vector<std::pair<Time, TaskKey>> by_start;
  Resources free = upstream.FreeCapacity();
  for (const TaskKey& key : upstream.tasks) {
    const TaskState* task = FindTask(key);
    if (task == nullptr || task->makes_way_for != gang) continue;
    if (task->phase == TaskPhase::kStopping) {
      free += FindJob(key.job)->spec.steps[key.step].allocated_resources();
    } else {
      by_start.emplace_back(task->confirmed_at, key);
    }
  }
  std::sort(by_start.begin(), by_start.end(), std::greater<>());
  int stopped = 0;
  for (const auto& [started_at, key] : by_start) {
    if (demand.FitsIn(free)) break;
    Job& job = *FindJob(key.job);
    free += job.spec.steps[key.step].allocated_resources();
    ++stopped;
    StopTask(job, key, *FindTask(key), "a gang starts in its reserved capacity");
  }
  return stopped;
}

bool Scheduler::IsServiceBusy(const ServiceId& service) {
  const auto [found, is_new] = m_busy_services.try_emplace(service, false);
  if (!is_new) return found->second;
  std::int64_t capacity = 0;
  std::int64_t allocated = 0;
  for (const auto& [id, upstream] : m_upstreams) {
    if (!upstream.is_listed || upstream.listing.service != service) continue;
    capacity += upstream.listing.capacity.cpu_millis;
    allocated += upstream.allocated.cpu_millis;
  }
  return found->second = allocated * 2 >= capacity;
}

bool Scheduler::HoldsBack(const CapacityReservation& reservation) const {
  if (reservation.is_being_vacated || reservation.is_service_busy) return true;
  return reservation.starts_at - m_now <= kMaxHeldBack;
}

Resources Scheduler::UnreservedCapacity(const UpstreamState& upstream) const {
  if (!upstream.reservation || !HoldsBack(*upstream.reservation)) return upstream.FreeCapacity();
  return SpareCapacity(upstream);
}

Resources Scheduler::SpareCapacity(const UpstreamState& upstream) {
  return Smaller(upstream.FreeCapacity(), upstream.reservation->spare);
}

Resources Scheduler::UsableCapacity(const StepRef& ref, const UpstreamState& upstream) const {
  const std::optional<CapacityReservation>& reservation = upstream.reservation;
  if (!reservation || MayBackfill(ref, upstream, *reservation)) return upstream.FreeCapacity();
  return SpareCapacity(upstream);
}

Resources Scheduler::RequestableCapacity(const StepRef& ref, const UpstreamState& upstream) const {
  if (!ref.job->spec.steps[ref.step].is_gang) return UsableCapacity(ref, upstream);
  if (upstream.backfilled.empty()) return upstream.FreeCapacity();
  return upstream.VacatableCapacity({ref.job->id, ref.occurrence, ref.step, 0});
}

bool Scheduler::MayBackfill(const StepRef& ref, const UpstreamState& upstream,
                            const CapacityReservation& reservation) const {
  const TaskKey& gang = reservation.gang;
  if (gang.step == ref.step && gang.occurrence == ref.occurrence && gang.job == ref.job->id) return true;
  if (reservation.is_being_vacated) return false;
  if (ref.job->spec.steps[ref.step].is_gang) return true;
  const StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  const bool has_waited = step.held_back_until != Time{} && m_now >= step.held_back_until;
  // A long-running task is not stopped for a gang, so that it would delay the gang without end.
  if (ref.job->spec.steps[ref.step].is_long_running) return has_waited;
  if (reservation.is_service_busy) return false;
  if (has_waited || !HoldsBack(reservation)) return true;
  return EstimateRunEnd({}, ExpectedRunOn(*ref.job, ref.step, upstream), m_now) <= reservation.starts_at;
}

bool Scheduler::IsHeldBack(const StepRef& ref, const UpstreamState& upstream) const {
  return upstream.reservation && CountSlots(ref, upstream, UsableCapacity(ref, upstream)) == 0 &&
         CountSlots(ref, upstream, upstream.FreeCapacity()) > 0;
}

void Scheduler::BoundHoldingBack(StepState& step) const {
  if (step.held_back_until == Time{}) step.held_back_until = m_now + kMaxHeldBack;
}

const CapacityReservation* Scheduler::FindHoldingReservation(const StepRef& ref) const {
  const auto found = std::find_if(m_by_free_cpu.begin(), m_by_free_cpu.end(),
                                  [this, &ref](const auto& entry) { return IsHeldBack(ref, *entry.second); });
  return found == m_by_free_cpu.end() ? nullptr : &*found->second->reservation;
}

Duration Scheduler::ExpectedRunOn(const Job& job, std::size_t step, const UpstreamState& upstream) const {
  const double run_ms = step < job.step_times.size() ? job.step_times[step].run_ms
                                                     : static_cast<double>(job.spec.steps[step].estimate_ms);
  return std::chrono::milliseconds(static_cast<std::int64_t>(std::min(run_ms / upstream.speed, kMaxExpectedRunMs)));
}

std::vector<std::pair<Time, Resources>> Scheduler::ListExpectedEnds(const UpstreamState& upstream,
                                                                    const TaskKey& gang) {
  std::vector<std::pair<Time, Resources>> ends;
  for (const TaskKey& key : upstream.tasks) {
    const TaskState* task = FindTask(key);
    if (task == nullptr || task->makes_way_for == gang) continue;
    const Job& job = *FindJob(key.job);
    const StepSpec& spec = job.spec.steps[key.step];
    const Time end = spec.is_long_running && task->phase != TaskPhase::kStopping
                         ? Time::max()
                         : EstimateRunEnd(*task, ExpectedRunOn(job, key.step, upstream), m_now);
    ends.emplace_back(end, spec.allocated_resources());
  }
  std::sort(ends.begin(), ends.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  return ends;
}

Time Scheduler::ExpectedFit(const UpstreamState& upstream, const TaskKey& gang, const Resources& demand) {
  Resources free = upstream.VacatableCapacity(gang);
  if (demand.FitsIn(free)) return m_now;
  for (const auto& [end, released] : ListExpectedEnds(upstream, gang)) {
    free += released;
    if (demand.FitsIn(free)) return end;
  }
  return Time::max();
}

Resources Scheduler::ExpectedSpare(const UpstreamState& upstream, const TaskKey& gang, const Resources& demand,
                                   Time at) {
  // Backfilled tasks use the spare capacity first, and are stopped only as far as they use more.
  Resources spare = upstream.FreeCapacity() - demand;
  for (const auto& [end, released] : ListExpectedEnds(upstream, gang)) {
    if (end > at || end == Time::max()) break;
    spare += released;
  }
  return spare;
}

void Scheduler::ReportReservation(const StepRef& ref, const std::vector<ReservedPlaces>& places, Time starts_at) {
  StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  step.next_reservation_report_at = m_now + kReservationReportInterval;
  std::int64_t idle_cpu = 0;
  std::int64_t spare_cpu = 0;
  for (const ReservedPlaces& place : places) {
    const std::int64_t free_cpu = place.upstream->FreeCapacity().cpu_millis;
    idle_cpu += std::max<std::int64_t>(0, free_cpu);
    spare_cpu += std::max<std::int64_t>(0, free_cpu - place.demand.cpu_millis);
  }
  const bool is_start_known = starts_at != Time::max();
  m_ports.events.Emit("gang.reserving",
                      {{"step", FormatStepKey({ref.job->id, ref.occurrence, ref.step, 0})},
                       {"waited_ms", std::to_string(ToMillis(m_now - ref.job->accepted))},
                       {"upstreams", std::to_string(places.size())},
                       {"idle_cpu_millis", std::to_string(idle_cpu)},
                       {"spare_cpu_millis", std::to_string(spare_cpu)},
                       {"starts_in_ms", is_start_known ? std::to_string(ToMillis(starts_at - m_now)) : "unknown"}});
}

}  // namespace jaymast
