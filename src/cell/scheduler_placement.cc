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
/// A ticket must stay valid during the commit of the assignment and the transfer to the upstream.
constexpr Duration kTicketMargin{150'000};
/// Gangs for which capacity is reserved in one pass.
constexpr int kMaxReservingGangs = 2;
/// Upstreams that each of them may reserve beyond its candidates.
constexpr std::size_t kReservedUpstreamsPerGang = 8;
/// Capacity is reserved for a gang after it has waited this long.
constexpr Duration kReservationDelay{1'500'000};

/// A step of which nothing has run for this time is reported, and again after the interval.
constexpr Duration kReportedWait{1'500'000};
constexpr Duration kWaitReportInterval{5'000'000};
/// Time between two checks whether a waiting step can run at all.
constexpr Duration kFitCheckInterval{500'000};

/// A gang that is slow across racks waits this long for free capacity on one rack.
constexpr Duration kMaxRackWait{1'500'000};

/// Keeps only the upstreams of one rack: of those with at least `needed` free slots, the one with the fewest.
/// @return whether there is such a rack; otherwise nothing is changed
bool KeepOneRack(std::vector<std::pair<std::int64_t, UpstreamState*>>& slots, std::int64_t needed) {
  std::map<std::string, std::int64_t> free_capacity;
  for (const auto& [count, upstream] : slots) free_capacity[upstream->listing.rack] += count;
  const std::pair<const std::string, std::int64_t>* best = nullptr;
  for (const auto& rack : free_capacity) {
    if (rack.second >= needed && (best == nullptr || rack.second < best->second)) best = &rack;
  }
  if (best == nullptr) return false;
  std::erase_if(slots, [best](const auto& slot) { return slot.second->listing.rack != best->first; });
  return true;
}

}  // namespace

void Scheduler::PlaceWaitingSteps() {
  m_needs_placement = false;
  m_next_placement = m_now + kIdlePlacementInterval;
  m_reserved_upstreams.clear();
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
    const Urgency by_time = m_now < job.objective
                                ? Urgency::kTimely
                                : (m_now < job.hard_deadline ? Urgency::kLate : Urgency::kPastDeadline);
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
        if (!is_ready) CountWaitingStep({&job, k, s, by_time}, false);
        if (!is_ready) continue;
        if (queue == nullptr) queue = QueueOf(job);
        if (queue == nullptr) continue;
        const Urgency urgency = job.spec.steps[s].is_long_running ? UrgencyOfLongRunning(occurrence.steps[s]) : by_time;
        refs.push_back({&job, k, s, urgency, queue->priority, job.objective});
      }
    }
  }
  if (refs.empty()) return;
  ListUsableUpstreams();
  std::sort(refs.begin(), refs.end(), [](const StepRef& a, const StepRef& b) {
    return std::tie(a.urgency, a.priority, a.objective, a.job->id, a.occurrence, a.step) <
           std::tie(b.urgency, b.priority, b.objective, b.job->id, b.occurrence, b.step);
  });
  m_waiting_steps = refs.size();
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
  m_ports.events.Emit("step.waiting", {{"step", FormatStepKey({ref.job->id, ref.occurrence, ref.step, 0})},
                                       {"reason", std::string(ToString(FindWaitReason(ref)))},
                                       {"waited_ms", std::to_string(ToMillis(wait))},
                                       {"waiting_tasks", std::to_string(step.waiting)},
                                       {"tickets", std::to_string(step.tickets.size())},
                                       {"denied_upstreams", std::to_string(denied)},
                                       {"waiting_steps", std::to_string(m_waiting_steps)}});
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
    if (!spec.is_gang && m_reserved_upstreams.contains(upstream->listing.id)) continue;
    unreserved_slots += slots;
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
  for (auto& [id, upstream] : m_upstreams) {
    if (IsUsable(upstream)) m_by_free_cpu.emplace_back(upstream.FreeCapacity().cpu_millis, &upstream);
  }
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

std::vector<UpstreamState*> Scheduler::FindCandidates(const StepRef& ref) {
  const QueueConfig& queue = *QueueOf(*ref.job);
  const StepSpec& spec = ref.job->spec.steps[ref.step];
  StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  std::vector<UpstreamState*> candidates;
  if (!queue.policy) {
    for (const auto& [free_cpu, upstream] : m_by_free_cpu) {
      if (CanRunOn(spec, queue, *upstream)) candidates.push_back(upstream);
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
    ReserveUpstreams(ref, candidates);
    seeker.reserves_upstreams = m_reserving_gangs++ < kMaxReservingGangs;
  }
  if (QueueOf(*ref.job)->policy) m_ticket_seekers.push_back(seeker);
}

bool Scheduler::PlaceGang(const StepRef& ref, const std::vector<UpstreamState*>& candidates) {
  const StepSpec& spec = ref.job->spec.steps[ref.step];
  const Resources team_free_capacity = TeamFreeCapacity(ref.job->team);
  if (!spec.total_demand().FitsIn(team_free_capacity)) return false;
  std::vector<std::pair<std::int64_t, UpstreamState*>> slots;
  std::int64_t total = 0;
  for (UpstreamState* upstream : candidates) {
    const std::int64_t count = CountSlots(ref, *upstream, upstream->FreeCapacity());
    if (count > 0) slots.emplace_back(count, upstream);
    total += count;
  }
  if (total < spec.task_count) return false;
  if (spec.same_rack && !KeepOneRack(slots, spec.task_count) && m_now - ref.job->accepted < kMaxRackWait) return false;
  // Best fit: the fullest upstreams first, which avoids fragmentation of the others.
  std::stable_sort(slots.begin(), slots.end(), [](const auto& a, const auto& b) {
    return a.second->FreeCapacity().cpu_millis < b.second->FreeCapacity().cpu_millis;
  });
  ShareCheckpoint(ref.job->occurrences.at(ref.occurrence).steps[ref.step]);
  std::size_t index = 0;
  for (const auto& [count, upstream] : slots) {
    for (std::int64_t i = 0; i < count && index < static_cast<std::size_t>(spec.task_count); ++i, ++index) {
      Assign(*ref.job, TaskKey{ref.job->id, ref.occurrence, ref.step, index}, upstream->listing.id);
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
  for (std::size_t i = 0; i < step.tasks.size() && step.waiting > 0; ++i) {
    TaskState& task = step.tasks[i];
    if (task.phase != TaskPhase::kWaiting) continue;
    if (!spec.demand.FitsIn(team_free_capacity)) return;
    UpstreamState* best = nullptr;
    double best_score = std::numeric_limits<double>::max();
    for (UpstreamState* upstream : candidates) {
      if (CountSlots(ref, *upstream, upstream->FreeCapacity()) < 1) continue;
      if (m_reserved_upstreams.contains(upstream->listing.id)) continue;
      const Resources& capacity = upstream->listing.capacity;
      const Resources free = upstream->FreeCapacity();
      double score =
          static_cast<double>(free.cpu_millis) / static_cast<double>(std::max<std::int64_t>(1, capacity.cpu_millis)) +
          static_cast<double>(free.memory_mb) / static_cast<double>(std::max<std::int64_t>(1, capacity.memory_mb));
      if (!spec.preferred_rack.empty() && !upstream->HasLabel(spec.preferred_rack)) score += 4;
      if (task.failed_on == upstream->listing.id) score += 8;
      if (score < best_score) {
        best_score = score;
        best = upstream;
      }
    }
    if (best == nullptr) return;
    Assign(*ref.job, TaskKey{ref.job->id, ref.occurrence, ref.step, i}, best->listing.id);
    team_free_capacity -= spec.demand;
  }
}

bool Scheduler::MayReserveUpstreams(const StepRef& ref) const {
  if (ref.urgency > Urgency::kTimely || m_now - ref.job->accepted < kReservationDelay) return false;
  return ref.job->spec.steps[ref.step].total_demand().FitsIn(TeamFreeCapacity(ref.job->team));
}

void Scheduler::ReserveUpstreams(const StepRef& ref, const std::vector<UpstreamState*>& candidates) {
  if (m_reserved_upstreams.size() >= candidates.size() + kMaxReservingGangs * kReservedUpstreamsPerGang) return;
  const StepSpec& spec = ref.job->spec.steps[ref.step];
  std::vector<UpstreamState*> ordered = candidates;
  std::stable_sort(ordered.begin(), ordered.end(), [](const auto* a, const auto* b) {
    return a->FreeCapacity().cpu_millis > b->FreeCapacity().cpu_millis;
  });
  std::int64_t reserved_slots = 0;
  for (const UpstreamState* upstream : ordered) {
    if (reserved_slots >= spec.task_count) return;
    const std::int64_t slots = CountSlots(ref, *upstream, upstream->AttainableCapacity());
    if (slots == 0) continue;
    reserved_slots += slots;
    m_reserved_upstreams.insert(upstream->listing.id);
  }
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
