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

/// Gangs that may reserve upstreams in one pass.
constexpr int kMaxReservingGangs = 2;
/// Upstreams that each of them may reserve beyond its candidates.
constexpr std::size_t kReservedUpstreamsPerGang = 8;
/// Capacity is reserved for a gang after it has waited this long.
constexpr Duration kReservationDelay{1'500'000};
/// Bound of expected run times, so that times computed from them do not overflow.
constexpr double kMaxExpectedRunMs = 1e12;
/// Time between two events about the reservation of one gang.
constexpr Duration kReservationReportInterval{5'000'000};

}  // namespace

bool Scheduler::MayReserveUpstreams(const StepRef& ref) const {
  if (ref.urgency > Urgency::kTimely || m_now - ref.job->accepted < kReservationDelay) return false;
  return ref.job->spec.steps[ref.step].total_demand().FitsIn(TeamFreeCapacity(ref.job->team));
}

void Scheduler::ReserveUpstreams(const StepRef& ref, const std::vector<UpstreamState*>& candidates) {
  if (m_reserved_upstreams.size() >= candidates.size() + kMaxReservingGangs * kReservedUpstreamsPerGang) return;
  const StepSpec& spec = ref.job->spec.steps[ref.step];
  std::vector<UpstreamState*> ordered = candidates;
  const UpstreamSelector selector(RequiredSpeed(ref));
  std::stable_sort(ordered.begin(), ordered.end(), [&selector](const UpstreamState* a, const UpstreamState* b) {
    const bool is_sufficient = selector.IsSufficient(a->low_speed);
    if (is_sufficient != selector.IsSufficient(b->low_speed)) return is_sufficient;
    return a->FreeCapacity().cpu_millis > b->FreeCapacity().cpu_millis;
  });
  std::vector<ReservedPlaces> chosen;
  std::int64_t members = 0;
  for (UpstreamState* upstream : ordered) {
    if (members >= spec.task_count) break;
    const std::int64_t slots = CountSlots(ref, *upstream, upstream->AttainableCapacity());
    if (slots == 0) continue;
    chosen.push_back({upstream, std::min(slots, spec.task_count - members)});
    members += chosen.back().members;
    m_reserved_upstreams.insert(upstream->listing.id);
  }
  ReportReservation(ref, chosen);
}

Duration Scheduler::ExpectedRunOn(const Job& job, std::size_t step, const UpstreamState& upstream) const {
  const double run_ms = step < job.step_times.size() ? job.step_times[step].run_ms
                                                     : static_cast<double>(job.spec.steps[step].estimate_ms);
  return std::chrono::milliseconds(static_cast<std::int64_t>(std::min(run_ms / upstream.speed, kMaxExpectedRunMs)));
}

std::vector<std::pair<Time, Resources>> Scheduler::ListExpectedEnds(const UpstreamState& upstream) const {
  std::vector<std::pair<Time, Resources>> ends;
  for (const TaskKey& key : upstream.tasks) {
    const auto job = m_jobs.find(key.job);
    if (job == m_jobs.end()) continue;
    const StepSpec& spec = job->second->spec.steps[key.step];
    const TaskState& task = job->second->occurrences.at(key.occurrence).steps[key.step].tasks[key.index];
    const Time end = spec.is_long_running && task.phase != TaskPhase::kStopping
                         ? Time::max()
                         : EstimateRunEnd(task, ExpectedRunOn(*job->second, key.step, upstream), m_now);
    ends.emplace_back(end, spec.allocated_resources());
  }
  std::sort(ends.begin(), ends.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  return ends;
}

Time Scheduler::ExpectedFit(const UpstreamState& upstream, const Resources& demand) const {
  Resources free = upstream.FreeCapacity();
  if (demand.FitsIn(free)) return m_now;
  for (const auto& [end, released] : ListExpectedEnds(upstream)) {
    free += released;
    if (demand.FitsIn(free)) return end;
  }
  return Time::max();
}

void Scheduler::ReportReservation(const StepRef& ref, const std::vector<ReservedPlaces>& places) {
  StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  if (m_now < step.next_reservation_report_at) return;
  step.next_reservation_report_at = m_now + kReservationReportInterval;
  const StepSpec& spec = ref.job->spec.steps[ref.step];
  Time starts_at = m_now;
  std::int64_t idle_cpu = 0;
  std::int64_t spare_cpu = 0;
  std::int64_t missing = spec.task_count;
  for (const auto& [upstream, members] : places) {
    Resources demand;
    for (std::int64_t i = 0; i < members; ++i) demand += spec.allocated_resources();
    starts_at = std::max(starts_at, ExpectedFit(*upstream, demand));
    const std::int64_t free_cpu = upstream->FreeCapacity().cpu_millis;
    idle_cpu += std::max<std::int64_t>(0, free_cpu);
    spare_cpu += std::max<std::int64_t>(0, free_cpu - demand.cpu_millis);
    missing -= members;
  }
  const bool is_start_known = missing == 0 && starts_at != Time::max();
  m_ports.events.Emit("gang.reserving",
                      {{"step", FormatStepKey({ref.job->id, ref.occurrence, ref.step, 0})},
                       {"waited_ms", std::to_string(ToMillis(m_now - ref.job->accepted))},
                       {"upstreams", std::to_string(places.size())},
                       {"idle_cpu_millis", std::to_string(idle_cpu)},
                       {"spare_cpu_millis", std::to_string(spare_cpu)},
                       {"starts_in_ms", is_start_known ? std::to_string(ToMillis(starts_at - m_now)) : "unknown"}});
}

}  // namespace jaymast
