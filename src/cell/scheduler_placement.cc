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
/// Share of upstreams that the policy is expected to allow before the first reply for a queue.
constexpr double kInitialAllowedShare = 0.4;
constexpr double kAllowedShareWeight = 0.1;  ///< weight of the newest reply in the running mean
/// Tickets are requested for this multiple of the capacity that a step needs, as other steps use capacity meanwhile.
constexpr double kRequestedCapacityFactor = 1.5;
constexpr double kRequestedCapacityFactorGang = 2.0;
constexpr std::size_t kMinRequestedUpstreams = 8;
constexpr std::size_t kMaxRequestedUpstreams = 100;  ///< limit of the policy service
/// Delay after a reply before the next request for the same step.
constexpr Duration kPolicyRequestInterval{120'000};
/// A step for which nothing runs may make a second call this long after the expected reply to the first.
constexpr Duration kPolicyOverdueMargin{400'000};
/// One in this many policy calls goes to the step that has waited longest, if nothing of it has run for this time.
constexpr int kCallsPerLongestWaiting = 4;
constexpr Duration kMaxTicketWait{2'000'000};
/// Delay before the upstreams are examined again for a step that had none to request tickets for.
constexpr Duration kPolicyScanInterval{50'000};
/// Gangs for which capacity is reserved in one pass.
constexpr int kMaxReservingGangs = 2;
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

/// @param key of any task of the step
std::string FormatStep(const TaskKey& key) {
  return fmt::format("{}.{}.{}", key.job.value(), key.occurrence, key.step);
}

/// Demand of all tasks of a step.
Resources TotalDemand(const StepSpec& spec) {
  const Resources& one = spec.demand;
  return {one.cpu_millis * spec.task_count, one.memory_mb * spec.task_count, one.accelerators * spec.task_count, 0};
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
  m_ports.events.Emit("step.waiting", {{"step", FormatStep({ref.job->id, ref.occurrence, ref.step, 0})},
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
  const Resources demand = spec.is_gang ? TotalDemand(spec) : spec.demand;
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
  if (!TotalDemand(spec).FitsIn(team_free_capacity)) return false;
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
  return TotalDemand(ref.job->spec.steps[ref.step]).FitsIn(TeamFreeCapacity(ref.job->team));
}

void Scheduler::ReserveUpstreams(const StepRef& ref, const std::vector<UpstreamState*>& candidates) {
  if (m_reserved_upstreams.size() >= candidates.size() + kMaxReservingGangs * kMinRequestedUpstreams) return;
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

std::vector<UpstreamId> Scheduler::ChooseUpstreamsToRequest(const StepRef& ref, const QueueConfig& queue) {
  const StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  const StepSpec& spec = ref.job->spec.steps[ref.step];
  const double factor = spec.is_gang ? kRequestedCapacityFactorGang : kRequestedCapacityFactor;
  double needed = static_cast<double>(step.waiting) * factor;
  const auto is_reserved = [this, &spec](const UpstreamId& id) {
    return !spec.is_gang && m_reserved_upstreams.contains(id);
  };
  for (const auto& [id, ticket] : step.tickets) {
    const UpstreamState* upstream = FindUpstream(id);
    if (upstream == nullptr || is_reserved(id) || !CanRunOn(spec, queue, *upstream)) continue;
    needed -= static_cast<double>(CountSlots(ref, *upstream, upstream->FreeCapacity()));
  }
  if (needed <= 0) return {};
  const double share = m_allowed_share.try_emplace(queue.id, kInitialAllowedShare).first->second;
  std::vector<UpstreamId> chosen;
  double expected_slots = 0;
  const auto is_enough = [&chosen, &expected_slots, needed] {
    return chosen.size() >= kMaxRequestedUpstreams ||
           (expected_slots >= needed && chosen.size() >= kMinRequestedUpstreams);
  };
  const auto choose = [&](const UpstreamState& upstream, std::int64_t slots) {
    const bool is_allowed = step.policy_decisions.contains(upstream.listing.id);
    expected_slots += (is_allowed ? 1.0 : share) * static_cast<double>(slots);
    chosen.push_back(upstream.listing.id);
  };
  const auto may_request = [&](const UpstreamState& upstream) {
    if (!CanRunOn(spec, queue, upstream) || step.tickets.contains(upstream.listing.id)) return false;
    const auto decision = step.policy_decisions.find(upstream.listing.id);
    return decision == step.policy_decisions.end() || decision->second;
  };
  for (const auto& [free_cpu, upstream] : m_by_free_cpu) {
    if (is_enough()) return chosen;
    // All later ones had less free CPU.
    if (!spec.uses_spare_cpu && free_cpu < spec.demand.cpu_millis) break;
    const std::int64_t free_slots = CountSlots(ref, *upstream, upstream->FreeCapacity());
    if (free_slots > 0 && !is_reserved(upstream->listing.id) && may_request(*upstream)) choose(*upstream, free_slots);
  }
  // With valid tickets a request for full upstreams would not help: capacity becomes free on those with a ticket first.
  if (chosen.empty() && !step.tickets.empty()) return {};
  for (const auto& [free_cpu, upstream] : m_by_free_cpu) {
    if (is_enough()) return chosen;
    if (CountSlots(ref, *upstream, upstream->FreeCapacity()) > 0) continue;
    const std::int64_t slots = CountSlots(ref, *upstream, upstream->listing.capacity);
    if (slots > 0 && may_request(*upstream)) choose(*upstream, slots);
  }
  return chosen;
}

bool Scheduler::CouldStart(const StepRef& ref) const {
  const StepSpec& spec = ref.job->spec.steps[ref.step];
  const StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  const QueueConfig& queue = *QueueOf(*ref.job);
  if (!(spec.is_gang ? TotalDemand(spec) : spec.demand).FitsIn(TeamFreeCapacity(ref.job->team))) return false;
  const std::int64_t needed = spec.is_gang ? spec.task_count : 1;
  std::int64_t slots = 0;
  for (const auto& [free_cpu, upstream] : m_by_free_cpu) {
    // All later ones had less free CPU.
    if (!spec.uses_spare_cpu && free_cpu < spec.demand.cpu_millis) return false;
    const auto decision = step.policy_decisions.find(upstream->listing.id);
    const bool is_denied = decision != step.policy_decisions.end() && !decision->second;
    if (is_denied || !CanRunOn(spec, queue, *upstream)) continue;
    if (!spec.is_gang && m_reserved_upstreams.contains(upstream->listing.id)) continue;
    slots += CountSlots(ref, *upstream, upstream->FreeCapacity());
    if (slots >= needed) return true;
  }
  return false;
}

void Scheduler::RequestTicketsFor(const std::vector<StepRef>& steps) {
  using Purpose = PolicyCallDispatcher::Purpose;
  const auto state_of = [](const StepRef& ref) -> StepState& {
    return ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  };
  // The reply to an overdue call may be lost, so a step may make a second call.
  const auto is_overdue = [this](const StepState& step) {
    return step.open_policy_calls == 1 && m_now >= step.policy_call_overdue_at;
  };
  const auto may_call = [this, &is_overdue](const StepState& step) {
    return m_now >= step.next_policy_call_at && (step.open_policy_calls == 0 || is_overdue(step));
  };
  std::vector<const StepRef*> longest_waiting;
  for (const StepRef& ref : steps) {
    const Time idle_since = state_of(ref).idle_since;
    if (idle_since != Time{} && m_now - idle_since >= kMaxTicketWait) longest_waiting.push_back(&ref);
  }
  std::stable_sort(longest_waiting.begin(), longest_waiting.end(), [&state_of](const StepRef* a, const StepRef* b) {
    return state_of(*a).idle_since < state_of(*b).idle_since;
  });
  std::vector<const StepRef*> deferred;
  auto urgent = steps.begin();
  auto waiting = longest_waiting.begin();
  while (m_policy_calls.CanCall(0) && (urgent != steps.end() || waiting != longest_waiting.end())) {
    const bool is_turn_of_waiting =
        m_calls_since_longest_waiting + 1 >= kCallsPerLongestWaiting && waiting != longest_waiting.end();
    const StepRef& ref = is_turn_of_waiting || urgent == steps.end() ? **waiting++ : *urgent++;
    const StepState& step = state_of(ref);
    if (!may_call(step)) continue;
    // A second call must not take an instance from other steps.
    if (is_overdue(step) || (!ref.reserves_upstreams && !CouldStart(ref))) {
      deferred.push_back(&ref);
    } else if (RequestTickets(ref, Purpose::kStart)) {
      m_calls_since_longest_waiting = is_turn_of_waiting ? 0 : m_calls_since_longest_waiting + 1;
    }
  }
  for (const StepRef* ref : deferred) {
    StepState& step = state_of(*ref);
    // A step that has waited long is in the list twice.
    if (!may_call(step) || RequestTickets(*ref, Purpose::kPrefetch)) continue;
    step.next_policy_call_at = m_now + kPolicyScanInterval;
  }
}

bool Scheduler::RequestTickets(const StepRef& ref, PolicyCallDispatcher::Purpose purpose) {
  StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  const QueueConfig& queue = *QueueOf(*ref.job);
  const PolicyConfig& policy_config = *queue.policy;
  if (!m_policy_calls.CanCall(static_cast<std::int64_t>(policy_config.call_ms), purpose)) return false;
  PolicyRequest request;
  request.job = ref.job->id;
  request.occurrence = ref.occurrence;
  request.step = ref.step;
  request.upstreams = ChooseUpstreamsToRequest(ref, queue);
  if (request.upstreams.empty()) {
    step.next_policy_call_at = m_now + kPolicyScanInterval;
    return false;
  }
  request.expected_ms = static_cast<std::int64_t>(
      std::ceil(policy_config.call_ms + policy_config.per_upstream_ms * static_cast<double>(request.upstreams.size())));
  const TaskKey step_key{ref.job->id, ref.occurrence, ref.step, 0};
  const bool is_sent = m_policy_calls.TryCall(
      request, purpose, [this, step_key, request, sent_at = m_now](const PolicyReply& policy_reply) {
        OnPolicyReply(step_key, request, sent_at, policy_reply);
      });
  if (!is_sent) return false;
  ++step.open_policy_calls;
  step.policy_call_overdue_at = m_now + std::chrono::milliseconds(request.expected_ms) + kPolicyOverdueMargin;
  return true;
}

void Scheduler::OnPolicyReply(const TaskKey& step_key, const PolicyRequest& request, Time request_sent_at,
                              const PolicyReply& policy_reply) {
  const std::vector<UpstreamId>& requested = request.upstreams;
  Job* job = FindJob(step_key.job);
  m_needs_placement = true;
  if (m_is_retired) return;
  if (!policy_reply.is_answered) {
    m_ports.events.Emit("policy.no_reply", {{"step", FormatStep(step_key)},
                                            {"upstreams", std::to_string(requested.size())},
                                            {"expected_ms", std::to_string(request.expected_ms)},
                                            {"waited_ms", std::to_string(ToMillis(m_now - request_sent_at))}});
  }
  if (job == nullptr || FindTask(step_key) == nullptr) return;
  StepState& step = StepOf(*job, step_key);
  --step.open_policy_calls;
  step.next_policy_call_at = m_now + kPolicyRequestInterval;
  const QueueConfig* queue = QueueOf(*job);
  if (!policy_reply.is_answered || queue == nullptr || !queue->policy) return;
  const std::int64_t valid_ms = policy_reply.ticket_ms > 0 ? policy_reply.ticket_ms : queue->policy->ticket_ms;
  for (const UpstreamId& id : requested) step.policy_decisions[id] = false;
  for (const auto& [id, ticket] : policy_reply.tickets) {
    const UpstreamState* upstream = FindUpstream(id);
    if (upstream == nullptr) continue;
    step.policy_decisions[id] = true;
    step.tickets[id] = Ticket{ticket, m_now + std::chrono::milliseconds(valid_ms), upstream->incarnation};
  }
  double& share = m_allowed_share[queue->id];
  const double observed_share =
      static_cast<double>(policy_reply.tickets.size()) / static_cast<double>(requested.size());
  share += (observed_share - share) * kAllowedShareWeight;
}

}  // namespace jaymast
