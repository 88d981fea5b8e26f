#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "cell/scheduler.h"
#include "jobs/job_record.h"

namespace jaymast {
namespace {

constexpr Duration kIdlePlacementInterval{100'000};
/// A pass begins at least this long after the last one for each step that waited in it, so that passes take a bounded
/// share of the processor. With a few hundred waiting steps this is less than the time between two transactions.
constexpr Duration kPlacementPausePerStep{10};
/// A ticket must stay valid during the commit of the assignment and the transfer to the upstream.
constexpr Duration kTicketMargin{150'000};
/// Gangs for which capacity is reserved in one pass.
constexpr int kMaxReservingGangs = 2;

/// A step of which nothing has run for this time is reported, and again after the interval.
constexpr Duration kReportedWait{1'500'000};
constexpr Duration kWaitReportInterval{5'000'000};
/// Time between two checks whether a waiting step can run at all.
constexpr Duration kFitCheckInterval{500'000};

/// A gang that is slow across racks waits this long for free capacity on one rack.
constexpr Duration kMaxRackWait{1'500'000};

/// Penalties of upstreams: where the task may be stopped for a gang, where its last run failed, and on another rack
/// than the preferred one.
constexpr int kReservedPenalty = 4;
constexpr int kFailedOnPenalty = 2;
constexpr int kOtherRackPenalty = 1;

/// Time between the assignment of a task and the beginning of its run: commit and transfer of the start.
constexpr Duration kStartDelay{100'000};
/// A run is expected to take this multiple of the expected run time at most.
constexpr double kRunTimeMargin = 1.15;
/// Bound of expected times, so that times computed from them do not overflow.
constexpr double kMaxExpectedMs = 1e12;
/// A job counts as late once it is late even if all its expected run times are wrong by this factor, either way.
constexpr double kRunTimeUncertainty = 1.5;

/// Keeps only the upstreams of one rack: of those with at least `needed` free slots, the one with the fewest.
/// @return whether there is such a rack; otherwise nothing is changed
bool KeepOneRack(std::vector<UpstreamOption>& options, std::int64_t needed) {
  std::map<std::string, std::int64_t> free_capacity;
  for (const UpstreamOption& option : options) free_capacity[option.upstream->listing.rack] += option.slots;
  const std::pair<const std::string, std::int64_t>* best = nullptr;
  for (const auto& rack : free_capacity) {
    if (rack.second >= needed && (best == nullptr || rack.second < best->second)) best = &rack;
  }
  if (best == nullptr) return false;
  std::erase_if(options, [best](const UpstreamOption& option) { return option.upstream->listing.rack != best->first; });
  return true;
}

}  // namespace

void Scheduler::PlaceWaitingSteps() {
  m_needs_placement = false;
  m_next_placement = m_now + kIdlePlacementInterval;
  m_earliest_placement = m_now;
  for (auto& [id, upstream] : m_upstreams) upstream.reservation.reset();
  m_busy_services.clear();
  m_reserving_gangs = 0;
  m_ticket_seekers.clear();
  m_longest_wait = Duration::zero();
  m_waiting_steps = 0;
  m_waiting_work.Clear();
  std::vector<StepRef> refs;
  if (m_config == nullptr) return;
  for (const auto& [id, active] : m_active) {
    Job& job = *active;
    const QueueConfig* queue = nullptr;
    for (auto& entry : job.occurrences) {
      const std::size_t k = entry.first;
      Occurrence& occurrence = entry.second;
      if (occurrence.is_done) continue;
      for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        if (occurrence.steps[s].waiting == 0) {
          ObserveWait({&job, k, s});
          continue;
        }
        const auto& dependencies = job.spec.steps[s].dependencies;
        const bool is_ready =
            std::all_of(dependencies.begin(), dependencies.end(),
                        [&occurrence](std::size_t dependency) { return occurrence.steps[dependency].not_done == 0; });
        if (!is_ready) {
          CountWaitingStep({&job, k, s, UrgencyByTime(job, s)}, false);
          continue;
        }
        if (queue == nullptr) queue = QueueOf(job);
        if (queue == nullptr) continue;
        const Urgency urgency =
            job.spec.steps[s].is_long_running ? UrgencyOfLongRunning(occurrence.steps[s]) : UrgencyByTime(job, s);
        refs.push_back({&job, k, s, urgency, queue->priority, LatestStart(job, s)});
      }
    }
  }
  if (refs.empty()) return;
  ListUsableUpstreams();
  std::sort(refs.begin(), refs.end(), [](const StepRef& a, const StepRef& b) {
    return std::tie(a.urgency, a.priority, a.latest_start, a.job->id, a.occurrence, a.step) <
           std::tie(b.urgency, b.priority, b.latest_start, b.job->id, b.occurrence, b.step);
  });
  m_waiting_steps = refs.size();
  m_step_placements += refs.size();
  m_earliest_placement =
      std::min(m_next_placement, m_now + kPlacementPausePerStep * static_cast<std::int64_t>(refs.size()));
  for (const StepRef& ref : refs) {
    PlaceStep(ref);
    CountWaitingStep(ref, true);
    ObserveWait(ref);
  }
  RequestTicketsFor(m_ticket_seekers);
}

void Scheduler::ObserveWait(const StepRef& ref) {
  StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  if (step.idle_since == Time{}) {
    // The time of a step whose tasks were all assigned again counts on.
    if (step.waiting == 0 || step.waiting < step.not_done) return;
    step.idle_since = m_now;
  }
  if (step.not_done == 0) return;
  const Duration wait = m_now - step.idle_since;
  m_longest_wait = std::max(m_longest_wait, wait);
  if (wait < kReportedWait || m_now < step.next_wait_report_at) return;
  step.next_wait_report_at = m_now + kWaitReportInterval;
  const auto denied = std::count_if(step.policy_decisions.begin(), step.policy_decisions.end(),
                                    [](const auto& decision) { return !decision.second; });
  const WaitReason reason = FindWaitReason(ref);
  const CapacityReservation* reservation = reason == WaitReason::kReserved ? FindHoldingReservation(ref) : nullptr;
  const Time held_until =
      reservation == nullptr ? m_now : std::max(m_now, std::min(reservation->starts_at, step.held_back_until));
  m_ports.events.Emit("step.waiting", {{"step", FormatStepKey({ref.job->id, ref.occurrence, ref.step, 0})},
                                       {"reason", std::string(ToString(reason))},
                                       {"waited_ms", std::to_string(ToMillis(wait))},
                                       {"waiting_tasks", std::to_string(step.waiting)},
                                       {"tickets", std::to_string(step.tickets.size())},
                                       {"denied_upstreams", std::to_string(denied)},
                                       {"waiting_steps", std::to_string(m_waiting_steps)},
                                       {"reserved_for", reservation == nullptr ? "" : FormatStepKey(reservation->gang)},
                                       {"reserved_for_ms", std::to_string(ToMillis(held_until - m_now))}});
}

WaitReason Scheduler::FindWaitReason(const StepRef& ref) const {
  const StepSpec& spec = ref.job->spec.steps[ref.step];
  const StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  const bool has_open_orders = step.waiting == 0 || (spec.is_gang && step.waiting < spec.task_count);
  const QueueConfig* queue = QueueOf(*ref.job);
  if (has_open_orders || queue == nullptr) return WaitReason::kOrdersOpen;
  const Resources demand = spec.is_gang ? spec.total_demand() : spec.demand;
  if (!demand.FitsIn(TeamFreeCapacity(ref.job->team))) return WaitReason::kTeamLimit;
  const std::int64_t needed = spec.is_gang ? spec.task_count : 1;
  bool has_upstream = false;
  std::int64_t free_slots = 0;
  std::int64_t allowed_slots = 0;
  std::int64_t unreserved_slots = 0;
  std::int64_t ticket_slots = 0;
  for (const auto& [free_cpu, upstream] : m_by_free_cpu) {
    if (!CanRunOn(spec, *queue, *upstream)) continue;
    has_upstream = true;
    const std::int64_t slots = CountSlots(ref, *upstream, upstream->FreeCapacity());
    free_slots += slots;
    const auto decision = step.policy_decisions.find(upstream->listing.id);
    if (decision != step.policy_decisions.end() && !decision->second) continue;
    allowed_slots += slots;
    unreserved_slots += CountSlots(ref, *upstream, UsableCapacity(ref, *upstream));
    const auto ticket = step.tickets.find(upstream->listing.id);
    if (ticket != step.tickets.end() && ticket->second.expiry > m_now + kTicketMargin) ticket_slots += slots;
  }
  if (!has_upstream) return WaitReason::kNoUpstream;
  if (free_slots < needed) return WaitReason::kNoCapacity;
  if (allowed_slots < needed) return WaitReason::kDenied;
  if (unreserved_slots < needed) return WaitReason::kReserved;
  if (!queue->policy || ticket_slots >= needed) return spec.same_rack ? WaitReason::kRack : WaitReason::kNoCapacity;
  if (step.open_policy_calls > 0) return WaitReason::kPolicyCallOpen;
  const bool can_call = m_policy_calls.CanCall(static_cast<std::int64_t>(queue->policy->call_ms));
  return can_call ? WaitReason::kNoTicket : WaitReason::kNoPolicyCaller;
}

void Scheduler::ListUsableUpstreams() {
  m_by_free_cpu.clear();
  m_by_requirement.clear();
  m_speeds.Refresh();
  m_max_speed = 0;
  for (auto& [id, upstream] : m_upstreams) {
    if (!IsUsable(upstream)) continue;
    m_by_free_cpu.emplace_back(upstream.FreeCapacity().cpu_millis, &upstream);
    if (m_ports.options.IsOn(CellFeature::kUpstreamSpeeds)) {
      upstream.speed = m_speeds.SpeedOf(id);
      upstream.low_speed = m_speeds.LowSpeedOf(upstream.listing.service.value(), id);
    }
    m_max_speed = std::max(m_max_speed, upstream.speed);
  }
  if (m_max_speed <= 0) m_max_speed = 1;
  std::stable_sort(m_by_free_cpu.begin(), m_by_free_cpu.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
}

Scheduler::Urgency Scheduler::UrgencyOfLongRunning(const StepState& step) {
  const bool has_run =
      std::any_of(step.tasks.begin(), step.tasks.end(), [](const TaskState& task) { return task.run > 0; });
  return has_run ? Urgency::kRestart : Urgency::kTimely;
}

bool Scheduler::CanRunOn(const StepSpec& spec, const QueueConfig& queue, const UpstreamState& upstream) const {
  ++m_placement_checks;
  if (upstream.listing.service != queue.service || !IsUsable(upstream)) return false;
  return spec.required_label.empty() || upstream.HasLabel(spec.required_label);
}

Scheduler::Urgency Scheduler::UrgencyByTime(const Job& job, std::size_t step) const {
  if (!m_ports.options.IsOn(CellFeature::kLearnedRunTimes) || step >= job.step_times.size()) {
    if (m_now < job.objective) return Urgency::kTimely;
    return m_now < job.hard_deadline ? Urgency::kLate : Urgency::kPastDeadline;
  }
  const StepTimes& times = job.step_times[step];
  const double remaining_ms = times.run_ms / m_max_speed + times.after_ms;
  // A longer run also has a later objective. The slack is linear in the factor by which all run times are wrong, so it
  // is highest at one of the bounds.
  const auto is_attainable = [this, remaining_ms](Time deadline, double stretched_ms) {
    const double slack_ms = std::chrono::duration<double, std::milli>(deadline - m_now).count() - remaining_ms;
    const double gain_ms = stretched_ms - remaining_ms;
    return slack_ms + std::max(gain_ms * (kRunTimeUncertainty - 1), gain_ms * (1 / kRunTimeUncertainty - 1)) >= 0;
  };
  const double hard_stretched_ms = job.stretched_path_ms *
                                   std::chrono::duration<double>(job.hard_deadline - job.accepted).count() /
                                   std::max(1e-3, std::chrono::duration<double>(job.objective - job.accepted).count());
  if (is_attainable(job.objective, job.stretched_path_ms)) return Urgency::kTimely;
  return is_attainable(job.hard_deadline, hard_stretched_ms) ? Urgency::kLate : Urgency::kPastDeadline;
}

Time Scheduler::LatestStart(const Job& job, std::size_t step) const {
  if (!m_ports.options.IsOn(CellFeature::kLearnedRunTimes) || step >= job.step_times.size()) return job.objective;
  const StepTimes& times = job.step_times[step];
  const double remaining_ms = std::min(times.run_ms / m_max_speed + times.after_ms, kMaxExpectedMs);
  return job.objective - std::chrono::milliseconds(static_cast<std::int64_t>(remaining_ms));
}

Resources Scheduler::TeamFreeCapacity(const TeamId& team) const {
  constexpr std::int64_t kUnbounded = std::numeric_limits<std::int64_t>::max() / 4;
  Resources free_capacity{kUnbounded, kUnbounded, kUnbounded, kUnbounded};
  const auto config = m_config->teams.find(team);
  if (config == m_config->teams.end()) return free_capacity;
  const auto use = m_team_usage.find(team);
  const Resources allocated = use == m_team_usage.end() ? Resources{} : use->second;
  const Resources& limit = config->second.limit;
  if (limit.cpu_millis > 0) free_capacity.cpu_millis = limit.cpu_millis - allocated.cpu_millis;
  if (limit.memory_mb > 0) free_capacity.memory_mb = limit.memory_mb - allocated.memory_mb;
  if (limit.accelerators > 0) free_capacity.accelerators = limit.accelerators - allocated.accelerators;
  return free_capacity;
}

std::int64_t Scheduler::CountSlots(const StepRef& ref, const UpstreamState& upstream,
                                   const Resources& free_capacity) const {
  const StepSpec& spec = ref.job->spec.steps[ref.step];
  std::int64_t slots = spec.task_count;
  const auto limit = [&slots](std::int64_t available, std::int64_t needed) {
    if (needed > 0) slots = std::min(slots, std::max<std::int64_t>(0, available) / needed);
  };
  if (!spec.uses_spare_cpu) limit(free_capacity.cpu_millis, spec.demand.cpu_millis);
  limit(free_capacity.memory_mb, spec.demand.memory_mb);
  limit(free_capacity.accelerators, spec.demand.accelerators);
  if (spec.max_per_upstream > 0) {
    const auto placed_here = std::count_if(upstream.tasks.begin(), upstream.tasks.end(), [&ref](const TaskKey& key) {
      return key.job == ref.job->id && key.occurrence == ref.occurrence && key.step == ref.step;
    });
    slots = std::min<std::int64_t>(slots, std::max<std::int64_t>(0, spec.max_per_upstream - placed_here));
  }
  return slots;
}

const std::vector<std::pair<std::int64_t, UpstreamState*>>& Scheduler::ListUpstreamsFor(const StepSpec& spec,
                                                                                        const QueueConfig& queue) {
  const auto [found, is_new] = m_by_requirement.try_emplace({queue.service, spec.required_label});
  if (!is_new) return found->second;
  for (const auto& entry : m_by_free_cpu) {
    if (CanRunOn(spec, queue, *entry.second)) found->second.push_back(entry);
  }
  return found->second;
}

std::vector<UpstreamState*> Scheduler::FindCandidates(const StepRef& ref) {
  const QueueConfig& queue = *QueueOf(*ref.job);
  const StepSpec& spec = ref.job->spec.steps[ref.step];
  StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  std::vector<UpstreamState*> candidates;
  if (!queue.policy) {
    const bool needs_free_cpu = !spec.uses_spare_cpu && spec.demand.cpu_millis > 0;
    for (const auto& [free_cpu, upstream] : ListUpstreamsFor(spec, queue)) {
      // All later ones had less free CPU.
      if (needs_free_cpu && free_cpu < spec.demand.cpu_millis) break;
      if (needs_free_cpu && upstream->FreeCapacity().cpu_millis < spec.demand.cpu_millis) continue;
      candidates.push_back(upstream);
    }
    return candidates;
  }
  for (auto it = step.tickets.begin(); it != step.tickets.end();) {
    UpstreamState* upstream = FindUpstream(it->first);
    const bool is_valid =
        it->second.expiry > m_now && upstream != nullptr && upstream->incarnation == it->second.incarnation;
    if (!is_valid) {
      it = step.tickets.erase(it);
      continue;
    }
    if (it->second.expiry > m_now + kTicketMargin && CanRunOn(spec, queue, *upstream)) candidates.push_back(upstream);
    ++it;
  }
  return candidates;
}

void Scheduler::PlaceStep(const StepRef& ref) {
  StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  const StepSpec& spec = ref.job->spec.steps[ref.step];
  const QueueConfig& queue = *QueueOf(*ref.job);
  const std::vector<UpstreamState*> candidates = FindCandidates(ref);
  if (spec.is_gang) {
    if (step.waiting < spec.task_count || PlaceGang(ref, candidates)) return;
  } else {
    PlaceTasks(ref, candidates);
    if (step.waiting == 0) return;
  }
  CheckFit(ref);
  StepRef seeker = ref;
  if (spec.is_gang && step.can_fit_later && MayReserveUpstreams(ref)) {
    // Full upstreams are reserved, too.
    std::vector<UpstreamState*> reservable = candidates;
    if (!queue.policy) {
      reservable.clear();
      for (const auto& [free_cpu, upstream] : ListUpstreamsFor(spec, queue)) reservable.push_back(upstream);
    }
    ReserveUpstreams(ref, reservable);
    seeker.reserves_upstreams = m_reserving_gangs++ < kMaxReservingGangs;
  }
  if (queue.policy) m_ticket_seekers.push_back(seeker);
}

bool Scheduler::PlaceGang(const StepRef& ref, const std::vector<UpstreamState*>& candidates) {
  const StepSpec& spec = ref.job->spec.steps[ref.step];
  const Resources team_free_capacity = TeamFreeCapacity(ref.job->team);
  if (!spec.total_demand().FitsIn(team_free_capacity)) return false;
  std::vector<UpstreamOption> options;
  std::int64_t total = 0;
  for (UpstreamState* upstream : candidates) {
    const UpstreamOption option = MakeOption(ref, *upstream);
    if (option.slots > 0) options.push_back(option);
    total += option.slots;
  }
  if (total < spec.task_count) return false;
  if (spec.same_rack && !KeepOneRack(options, spec.task_count) && m_now - ref.job->accepted < kMaxRackWait) {
    return false;
  }
  ShareCheckpoint(ref.job->occurrences.at(ref.occurrence).steps[ref.step]);
  UpstreamSelector(RequiredSpeed(ref)).ChooseForGang(options, spec.task_count);
  std::size_t index = 0;
  for (const UpstreamOption& option : options) {
    for (std::int64_t i = 0; i < option.slots && index < static_cast<std::size_t>(spec.task_count); ++i, ++index) {
      Assign(*ref.job, TaskKey{ref.job->id, ref.occurrence, ref.step, index}, option.upstream->listing.id);
    }
  }
  return true;
}

void Scheduler::ShareCheckpoint(StepState& step) {
  const auto rank = [](const TaskState& task) { return std::pair{!task.checkpoint.empty(), task.checkpoint_percent}; };
  const auto best = std::max_element(step.tasks.begin(), step.tasks.end(),
                                     [&rank](const TaskState& a, const TaskState& b) { return rank(a) < rank(b); });
  const std::string checkpoint = best->checkpoint;
  const std::int32_t percent = best->checkpoint_percent;
  for (TaskState& task : step.tasks) {
    task.checkpoint = checkpoint;
    task.checkpoint_percent = percent;
  }
}

void Scheduler::PlaceTasks(const StepRef& ref, const std::vector<UpstreamState*>& candidates) {
  const StepSpec& spec = ref.job->spec.steps[ref.step];
  StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  Resources team_free_capacity = TeamFreeCapacity(ref.job->team);
  if (!spec.demand.FitsIn(team_free_capacity)) return;
  std::vector<UpstreamOption> options;
  bool is_held_back = false;
  for (UpstreamState* upstream : candidates) {
    const UpstreamOption option = MakeOption(ref, *upstream);
    if (option.slots > 0) options.push_back(option);
    is_held_back = is_held_back || (option.slots == 0 && IsHeldBack(ref, *upstream));
  }
  if (is_held_back) BoundHoldingBack(step);
  if (options.empty()) return;
  const UpstreamSelector selector(RequiredSpeed(ref));
  for (std::size_t i = 0; i < step.tasks.size() && step.waiting > 0; ++i) {
    TaskState& task = step.tasks[i];
    if (task.phase != TaskPhase::kWaiting) continue;
    if (!spec.demand.FitsIn(team_free_capacity)) return;
    const auto failed_on = std::find_if(options.begin(), options.end(), [&task](const UpstreamOption& option) {
      return option.upstream->listing.id == task.failed_on;
    });
    if (failed_on != options.end()) failed_on->penalty += kFailedOnPenalty;
    UpstreamOption* best = selector.ChooseForTask(options);
    if (failed_on != options.end()) failed_on->penalty -= kFailedOnPenalty;
    if (best == nullptr) return;
    if (auto& reservation = best->upstream->reservation) {
      if (!spec.is_long_running) task.makes_way_for = reservation->gang;
      reservation->spare -= spec.allocated_resources();
    }
    Assign(*ref.job, TaskKey{ref.job->id, ref.occurrence, ref.step, i}, best->upstream->listing.id);
    *best = MakeOption(ref, *best->upstream);
    team_free_capacity -= spec.demand;
  }
}

UpstreamOption Scheduler::MakeOption(const StepRef& ref, UpstreamState& upstream) const {
  const StepSpec& spec = ref.job->spec.steps[ref.step];
  const Resources free = UsableCapacity(ref, upstream);
  UpstreamOption option;
  option.upstream = &upstream;
  option.slots = CountSlots(ref, upstream, free);
  option.speed = upstream.speed;
  option.low_speed = upstream.low_speed;
  const auto share = [](std::int64_t available, std::int64_t capacity) {
    return static_cast<double>(available) / static_cast<double>(std::max<std::int64_t>(1, capacity));
  };
  option.free_share = share(free.cpu_millis, upstream.listing.capacity.cpu_millis) +
                      share(free.memory_mb, upstream.listing.capacity.memory_mb);
  const bool is_remote = !spec.preferred_rack.empty() && !upstream.HasLabel(spec.preferred_rack);
  option.penalty = is_remote ? kOtherRackPenalty : 0;
  if (spec.is_gang || !upstream.reservation) return option;
  const std::int64_t spare_slots = CountSlots(ref, upstream, SpareCapacity(upstream));
  if (spare_slots > 0) {
    option.slots = std::min(option.slots, spare_slots);
  } else {
    option.penalty += kReservedPenalty;
  }
  return option;
}

double Scheduler::RequiredSpeed(const StepRef& ref) const {
  if (!m_ports.options.IsOn(CellFeature::kUpstreamSpeeds)) return 0;
  const Job& job = *ref.job;
  const StepSpec& spec = job.spec.steps[ref.step];
  if (spec.is_long_running || ref.step >= job.step_times.size()) return 0;
  const auto& [run_ms, after_ms] = job.step_times[ref.step];
  // A job that can't meet its objective makes way for others.
  const Time deadline = ref.urgency <= Urgency::kTimely ? job.objective : job.hard_deadline;
  const double left_ms = std::chrono::duration<double, std::milli>(deadline - m_now - kStartDelay).count() - after_ms;
  if (left_ms > 0) return run_ms * kRunTimeMargin / left_ms;
  return m_now < deadline ? std::numeric_limits<double>::max() : 0;
}

void Scheduler::CheckFit(const StepRef& ref) {
  StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  if (m_now < step.next_fit_check_at) return;
  step.next_fit_check_at = m_now + kFitCheckInterval;
  const bool is_adopting = m_now - m_took_over_at < kAdoptionTime;
  step.can_fit_later = is_adopting || CanFitLater(ref);
}

bool Scheduler::CanFitLater(const StepRef& ref) const {
  const StepSpec& spec = ref.job->spec.steps[ref.step];
  const StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  const QueueConfig& queue = *QueueOf(*ref.job);
  const std::int64_t needed = spec.is_gang ? spec.task_count : 1;
  std::int64_t slots = 0;
  for (const auto& [free_cpu, upstream] : m_by_free_cpu) {
    if (slots >= needed) break;
    const auto decision = step.policy_decisions.find(upstream->listing.id);
    const bool is_denied = decision != step.policy_decisions.end() && !decision->second;
    if (is_denied || !CanRunOn(spec, queue, *upstream)) continue;
    slots += CountSlots(ref, *upstream, upstream->AttainableCapacity());
  }
  return slots >= needed;
}

}  // namespace jaymast
