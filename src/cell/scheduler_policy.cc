#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "cell/scheduler.h"
#include "jobs/job_record.h"

namespace jaymast {
namespace {

/// Tickets are requested for this multiple of the capacity that a step needs, as other steps use capacity meanwhile.
constexpr double kRequestedCapacityFactor = 1.5;
constexpr double kRequestedCapacityFactorGang = 2.0;
constexpr std::size_t kMinRequestedUpstreams = 8;
constexpr std::size_t kMaxRequestedUpstreams = PolicyCallPlanner::kMaxUpstreams;
/// A step for which nothing runs may make a second call this long after the expected reply to the first.
constexpr Duration kPolicyOverdueMargin{400'000};
/// One in this many policy calls goes to the step that has waited longest, if nothing of it has run for this time.
constexpr int kCallsPerLongestWaiting = 4;
constexpr Duration kMaxTicketWait{2'000'000};
/// Delay before the upstreams are examined again for a step that had none to request tickets for.
constexpr Duration kPolicyScanInterval{50'000};
/// While a step can't start, decisions are requested until the allowed upstreams hold this multiple of its tasks.
constexpr std::int64_t kKnownCapacityFactor = 3;
/// Upstreams are examined until they are expected to hold this multiple of what is needed.
constexpr double kCollectedCapacityFactor = 2.5;

}  // namespace

std::vector<UpstreamId> Scheduler::ChooseUpstreamsToRequest(const StepRef& ref, const QueueConfig& queue) {
  const StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  const StepSpec& spec = ref.job->spec.steps[ref.step];
  const double factor = spec.is_gang ? kRequestedCapacityFactorGang : kRequestedCapacityFactor;
  double needed = static_cast<double>(step.waiting) * factor;
  for (const auto& [id, ticket] : step.tickets) {
    const UpstreamState* upstream = FindUpstream(id);
    if (upstream == nullptr || !CanRunOn(spec, queue, *upstream)) continue;
    needed -= static_cast<double>(CountSlots(ref, *upstream, RequestableCapacity(ref, *upstream)));
  }
  if (needed <= 0) return {};
  const double share = m_policy_planner.AllowedShare(queue.id);
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
    // All later ones had less free CPU, but more of it may be vacated for a gang.
    if (!spec.uses_spare_cpu && free_cpu < spec.demand.cpu_millis) {
      if (!spec.is_gang) break;
      if (upstream->backfilled.empty()) continue;
    }
    const std::int64_t free_slots = CountSlots(ref, *upstream, RequestableCapacity(ref, *upstream));
    if (free_slots > 0 && may_request(*upstream)) choose(*upstream, free_slots);
  }
  // With valid tickets a request for full upstreams would not help: capacity becomes free on those with a ticket first.
  if (chosen.empty() && !step.tickets.empty()) return {};
  for (const auto& [free_cpu, upstream] : m_by_free_cpu) {
    if (is_enough()) return chosen;
    if (CountSlots(ref, *upstream, spec.is_gang ? RequestableCapacity(ref, *upstream) : upstream->FreeCapacity()) > 0) {
      continue;
    }
    const std::int64_t slots = CountSlots(ref, *upstream, upstream->listing.capacity);
    if (slots > 0 && may_request(*upstream)) choose(*upstream, slots);
  }
  return chosen;
}

bool Scheduler::CouldStart(const StepRef& ref) const {
  const StepSpec& spec = ref.job->spec.steps[ref.step];
  const StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  const QueueConfig& queue = *QueueOf(*ref.job);
  if (!(spec.is_gang ? spec.total_demand() : spec.demand).FitsIn(TeamFreeCapacity(ref.job->team))) return false;
  const std::int64_t needed = spec.is_gang ? spec.task_count : 1;
  std::int64_t slots = 0;
  for (const auto& [free_cpu, upstream] : m_by_free_cpu) {
    // All later ones had less free CPU.
    if (!spec.uses_spare_cpu && free_cpu < spec.demand.cpu_millis) return false;
    const auto decision = step.policy_decisions.find(upstream->listing.id);
    const bool is_denied = decision != step.policy_decisions.end() && !decision->second;
    if (is_denied || !CanRunOn(spec, queue, *upstream)) continue;
    slots += CountSlots(ref, *upstream, UsableCapacity(ref, *upstream));
    if (slots >= needed) return true;
  }
  return false;
}

bool Scheduler::IsPolicyCallOverdue(const StepState& step) const {
  // The reply to an overdue call may be lost, so a step may make a second call.
  return step.open_policy_calls == 1 && m_now >= step.policy_call_overdue_at;
}

bool Scheduler::MayCallPolicy(const StepState& step) const {
  return m_now >= step.next_policy_call_at && (step.open_policy_calls == 0 || IsPolicyCallOverdue(step));
}

std::vector<const Scheduler::StepRef*> Scheduler::ListLongestWaiting(const std::vector<StepRef>& steps) const {
  const auto idle_since = [](const StepRef& ref) {
    return ref.job->occurrences.at(ref.occurrence).steps[ref.step].idle_since;
  };
  std::vector<const StepRef*> longest_waiting;
  for (const StepRef& ref : steps) {
    const Time since = idle_since(ref);
    if (since != Time{} && m_now - since >= kMaxTicketWait) longest_waiting.push_back(&ref);
  }
  std::stable_sort(longest_waiting.begin(), longest_waiting.end(),
                   [&idle_since](const StepRef* a, const StepRef* b) { return idle_since(*a) < idle_since(*b); });
  return longest_waiting;
}

void Scheduler::RequestTicketsFor(const std::vector<StepRef>& steps) {
  if (m_ports.options.IsOn(CellFeature::kPolicyPlanning)) return RequestPlannedTickets(steps);
  using Purpose = PolicyCallDispatcher::Purpose;
  const auto state_of = [](const StepRef& ref) -> StepState& {
    return ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  };
  const std::vector<const StepRef*> longest_waiting = ListLongestWaiting(steps);
  std::vector<const StepRef*> deferred;
  auto urgent = steps.begin();
  auto waiting = longest_waiting.begin();
  while (m_policy_calls.CanCall(0) && (urgent != steps.end() || waiting != longest_waiting.end())) {
    const bool is_turn_of_waiting =
        m_calls_since_longest_waiting + 1 >= kCallsPerLongestWaiting && waiting != longest_waiting.end();
    const StepRef& ref = is_turn_of_waiting || urgent == steps.end() ? **waiting++ : *urgent++;
    const StepState& step = state_of(ref);
    if (!MayCallPolicy(step)) continue;
    // A second call must not take an instance from other steps.
    if (IsPolicyCallOverdue(step) || (!ref.reserves_upstreams && !CouldStart(ref))) {
      deferred.push_back(&ref);
    } else if (RequestTickets(ref, Purpose::kStart)) {
      m_calls_since_longest_waiting = is_turn_of_waiting ? 0 : m_calls_since_longest_waiting + 1;
    }
  }
  for (const StepRef* ref : deferred) {
    StepState& step = state_of(*ref);
    // A step that has waited long is in the list twice.
    if (!MayCallPolicy(step) || RequestTickets(*ref, Purpose::kPrefetch)) continue;
    step.next_policy_call_at = m_now + kPolicyScanInterval;
  }
}

bool Scheduler::RequestTickets(const StepRef& ref, PolicyCallDispatcher::Purpose purpose) {
  StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  const QueueConfig& queue = *QueueOf(*ref.job);
  if (!m_policy_calls.CanCall(static_cast<std::int64_t>(queue.policy->call_ms), purpose)) return false;
  std::vector<UpstreamId> upstreams = ChooseUpstreamsToRequest(ref, queue);
  if (upstreams.empty()) {
    step.next_policy_call_at = m_now + kPolicyScanInterval;
    return false;
  }
  return CallPolicy(ref, purpose, std::move(upstreams));
}

bool Scheduler::CallPolicy(const StepRef& ref, PolicyCallDispatcher::Purpose purpose,
                           std::vector<UpstreamId> upstreams) {
  StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  const PolicyConfig& policy_config = *QueueOf(*ref.job)->policy;
  PolicyRequest request;
  request.job = ref.job->id;
  request.occurrence = ref.occurrence;
  request.step = ref.step;
  request.upstreams = std::move(upstreams);
  for (const UpstreamId& id : request.upstreams) request.incarnations.push_back(FindUpstream(id)->incarnation);
  request.expected_ms = static_cast<std::int64_t>(
      std::ceil(policy_config.call_ms + policy_config.per_upstream_ms * static_cast<double>(request.upstreams.size())));
  const TaskKey step_key{ref.job->id, ref.occurrence, ref.step, 0};
  const bool is_sent = m_policy_calls.TryCall(
      request, purpose, [this, step_key, request, sent_at = m_now](const PolicyReply& policy_reply) {
        OnPolicyReply(step_key, request, sent_at, policy_reply);
      });
  if (!is_sent) return false;
  const bool was_used = step.waiting < step.waiting_at_policy_call;
  const bool is_start = purpose == PolicyCallDispatcher::Purpose::kStart;
  step.unused_policy_calls = was_used ? 0 : step.unused_policy_calls + (is_start ? 1 : 0);
  step.waiting_at_policy_call = step.waiting;
  ++step.open_policy_calls;
  step.policy_call_overdue_at = m_now + std::chrono::milliseconds(request.expected_ms) + kPolicyOverdueMargin;
  return true;
}

Scheduler::PolicyOffers Scheduler::CollectPolicyOffers(const StepRef& ref, bool when_free, double free_share) const {
  const StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  const StepSpec& spec = ref.job->spec.steps[ref.step];
  const QueueConfig& queue = *QueueOf(*ref.job);
  PolicyOffers found;
  found.need = {
      step.waiting, 1, queue.policy->call_ms, queue.policy->per_upstream_ms, m_policy_planner.AllowedShare(queue.id),
      free_share};
  std::vector<const UpstreamState*> undecided;
  std::vector<std::int64_t> undecided_slots;
  std::int64_t slots_with_ticket = 0;
  // Enough for any margin of the planner, which bounds the work for a step while much capacity is free.
  const double expected_enough =
      static_cast<double>((when_free ? 1 : kKnownCapacityFactor) * step.waiting) * kCollectedCapacityFactor +
      static_cast<double>(kMinRequestedUpstreams);
  double expected = 0;
  for (const auto& [free_cpu, upstream] : m_by_free_cpu) {
    // All later ones had less free CPU.
    if (when_free && !spec.uses_spare_cpu && free_cpu < spec.demand.cpu_millis) break;
    if (undecided.size() >= kMaxRequestedUpstreams || expected * free_share >= expected_enough) break;
    const UpstreamId& id = upstream->listing.id;
    const auto decision = step.policy_decisions.find(id);
    if (decision != step.policy_decisions.end() && !decision->second) continue;
    if (!CanRunOn(spec, queue, *upstream)) continue;
    const std::int64_t slots =
        CountSlots(ref, *upstream, when_free ? RequestableCapacity(ref, *upstream) : upstream->AttainableCapacity());
    if (slots == 0) continue;
    const bool is_allowed = decision != step.policy_decisions.end();
    expected += (is_allowed ? 1.0 : found.need.allowed_share) * static_cast<double>(slots);
    if (when_free && step.tickets.contains(id)) {
      slots_with_ticket += slots;
    } else if (is_allowed) {
      found.offers.push_back({slots, true});
      found.upstreams.push_back(id);
    } else {
      undecided.push_back(upstream);
      undecided_slots.push_back(slots);
    }
  }
  for (std::size_t i = 0; i < undecided.size(); ++i) {
    found.offers.push_back({undecided_slots[i], false});
    found.upstreams.push_back(undecided[i]->listing.id);
  }
  found.need.slots -= slots_with_ticket;
  if (spec.is_gang) found.need.min_slots = std::max<std::int64_t>(1, found.need.slots);
  return found;
}

void Scheduler::RequestPlannedTickets(const std::vector<StepRef>& steps) {
  using Purpose = PolicyCallDispatcher::Purpose;
  const std::vector<const StepRef*> longest_waiting = ListLongestWaiting(steps);
  std::int64_t free_cpu = 0;
  for (const auto& [cpu, upstream] : m_by_free_cpu) {
    free_cpu += std::max<std::int64_t>(0, upstream->FreeCapacity().cpu_millis);
  }
  // CPU that steps with open calls are about to take.
  std::int64_t claimed_cpu = 0;
  PolicyCallPlanner::Queued queued;
  std::vector<const StepRef*> deferred;
  auto urgent = steps.begin();
  auto waiting = longest_waiting.begin();
  while (urgent != steps.end() || waiting != longest_waiting.end()) {
    const bool is_turn_of_waiting =
        m_calls_since_longest_waiting + 1 >= kCallsPerLongestWaiting && waiting != longest_waiting.end();
    const bool is_waiting = is_turn_of_waiting || urgent == steps.end();
    const StepRef& ref = is_waiting ? **waiting++ : *urgent++;
    StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
    const StepSpec& spec = ref.job->spec.steps[ref.step];
    const std::int64_t demand_cpu = spec.uses_spare_cpu ? 0 : step.waiting * spec.demand.cpu_millis;
    if (!is_waiting && step.open_policy_calls > 0 && !IsPolicyCallOverdue(step)) claimed_cpu += demand_cpu;
    if (!MayCallPolicy(step)) continue;
    const PolicyConfig& policy_config = *QueueOf(*ref.job)->policy;
    if (!m_policy_calls.CanCall(static_cast<std::int64_t>(policy_config.call_ms))) {
      const bool is_short = policy_config.call_ms <= static_cast<double>(PolicyCallDispatcher::kMaxShortCallMs);
      double& queued_ms = is_short ? queued.short_ms : queued.long_ms;
      if (!is_waiting) queued_ms += m_policy_planner.ExpectedCallMs(ref.job->queue, policy_config, step.waiting);
      continue;
    }
    const Resources needed = spec.is_gang ? spec.total_demand() : spec.demand;
    if (IsPolicyCallOverdue(step) || !needed.FitsIn(TeamFreeCapacity(ref.job->team))) {
      deferred.push_back(&ref);
      continue;
    }
    // What has waited long may take capacity that others expect, or it would wait without bound.
    const double free_share =
        is_waiting
            ? 1.0
            : std::max(0.0, 1.0 - static_cast<double>(claimed_cpu) / std::max(1.0, static_cast<double>(free_cpu)));
    PolicyOffers found = CollectPolicyOffers(ref, true, free_share);
    const bool has_tickets = found.need.slots <= 0;
    if (has_tickets) {
      step.next_policy_call_at = m_now + kPolicyScanInterval;
      continue;
    }
    if (is_waiting) found.need.allowed_share = 1.0;
    const bool can_start = PolicyCallPlanner::CanStart(found.need, found.offers);
    if (!can_start && !ref.reserves_upstreams) {
      deferred.push_back(&ref);
      continue;
    }
    found.need.allowed_share = m_policy_planner.AllowedShare(QueueOf(*ref.job)->id);
    // For a gang with reserved upstreams capacity becomes free while the tickets are valid.
    if (!can_start) found = CollectPolicyOffers(ref, false, 1.0);
    found.upstreams.resize(PolicyCallPlanner::CountToName(found.need, found.offers));
    if (found.upstreams.empty() || !CallPolicy(ref, Purpose::kStart, std::move(found.upstreams))) continue;
    claimed_cpu += demand_cpu;
    m_calls_since_longest_waiting = is_turn_of_waiting ? 0 : m_calls_since_longest_waiting + 1;
  }
  m_policy_planner.SetLoad(m_policy_calls.CountLongCallers(), queued);
  for (const StepRef* ref : deferred) PrefetchDecisions(*ref);
}

void Scheduler::PrefetchDecisions(const StepRef& ref) {
  using Purpose = PolicyCallDispatcher::Purpose;
  StepState& step = ref.job->occurrences.at(ref.occurrence).steps[ref.step];
  const auto call_ms = static_cast<std::int64_t>(QueueOf(*ref.job)->policy->call_ms);
  // A step that has waited long is in the list twice.
  if (!MayCallPolicy(step)) return;
  step.next_policy_call_at = m_now + kPolicyScanInterval;
  if (!m_policy_calls.CanCall(call_ms, Purpose::kPrefetch)) return;
  PolicyOffers found = CollectPolicyOffers(ref, false, 1.0);
  std::int64_t known_slots = 0;
  for (const PolicyCallPlanner::Offer& offer : found.offers) known_slots += offer.is_allowed ? offer.slots : 0;
  // Tickets would expire before there is capacity; only decisions are of use, and only until enough are known.
  const bool is_overdue = IsPolicyCallOverdue(step);
  if (!is_overdue && known_slots >= kKnownCapacityFactor * step.waiting) return;
  std::size_t first = 0;
  while (!is_overdue && first < found.offers.size() && found.offers[first].is_allowed) ++first;
  found.offers.erase(found.offers.begin(), found.offers.begin() + static_cast<std::ptrdiff_t>(first));
  found.upstreams.erase(found.upstreams.begin(), found.upstreams.begin() + static_cast<std::ptrdiff_t>(first));
  found.need.slots = kKnownCapacityFactor * step.waiting;
  found.upstreams.resize(PolicyCallPlanner::CountToName(found.need, found.offers));
  if (found.upstreams.empty()) return;
  if (CallPolicy(ref, Purpose::kPrefetch, std::move(found.upstreams))) step.next_policy_call_at = Time{};
}

void Scheduler::OnPolicyReply(const TaskKey& step_key, const PolicyRequest& request, Time request_sent_at,
                              const PolicyReply& policy_reply) {
  const std::vector<UpstreamId>& requested = request.upstreams;
  Job* job = FindJob(step_key.job);
  m_needs_placement = true;
  if (m_is_retired) return;
  if (!policy_reply.is_answered) {
    m_ports.events.Emit("policy.no_reply", {{"step", FormatStepKey(step_key)},
                                            {"upstreams", std::to_string(requested.size())},
                                            {"expected_ms", std::to_string(request.expected_ms)},
                                            {"waited_ms", std::to_string(ToMillis(m_now - request_sent_at))}});
  }
  if (job == nullptr || FindTask(step_key) == nullptr) return;
  StepState& step = StepOf(*job, step_key);
  --step.open_policy_calls;
  const bool is_planned = m_ports.options.IsOn(CellFeature::kPolicyPlanning);
  step.next_policy_call_at = m_now + PolicyCallPlanner::RenewalDelay(is_planned ? step.unused_policy_calls : 0);
  const QueueConfig* queue = QueueOf(*job);
  if (!policy_reply.is_answered || queue == nullptr || !queue->policy) return;
  ApplyDecisions(step, *queue, request, policy_reply);
}

void Scheduler::ApplyDecisions(StepState& step, const QueueConfig& queue, const PolicyRequest& request,
                               const PolicyReply& policy_reply) {
  const std::int64_t valid_ms = policy_reply.ticket_ms > 0 ? policy_reply.ticket_ms : queue.policy->ticket_ms;
  std::size_t denied = 0;
  std::size_t newly_allowed = 0;
  for (const auto& [id, ticket] : policy_reply.tickets) {
    const UpstreamState* upstream = FindUpstream(id);
    if (upstream == nullptr) continue;
    const auto [decision, is_new] = step.policy_decisions.insert_or_assign(id, true);
    newly_allowed += is_new ? 1 : 0;
    step.tickets[id] = Ticket{ticket, m_now + std::chrono::milliseconds(valid_ms), upstream->incarnation};
  }
  for (std::size_t i = 0; i < request.upstreams.size(); ++i) {
    const UpstreamId& id = request.upstreams[i];
    const UpstreamState* upstream = FindUpstream(id);
    // The service issues no ticket for an upstream that it does not know or that is not ready, which is no denial.
    const bool was_ready =
        upstream != nullptr && IsUsable(*upstream) && upstream->incarnation == request.incarnations[i];
    if (!was_ready || step.policy_decisions.contains(id)) continue;
    step.policy_decisions[id] = false;
    ++denied;
  }
  if (m_ports.options.IsOn(CellFeature::kPolicyPlanning)) {
    m_policy_planner.OnReply(queue.id, newly_allowed + denied, newly_allowed);
  } else {
    m_policy_planner.OnReply(queue.id, request.upstreams.size(), policy_reply.tickets.size());
  }
}

}  // namespace jaymast
