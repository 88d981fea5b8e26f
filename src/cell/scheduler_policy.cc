#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "cell/scheduler.h"
#include "jobs/job_record.h"

namespace jaymast {
namespace {

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

}  // namespace

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
  if (!(spec.is_gang ? spec.total_demand() : spec.demand).FitsIn(TeamFreeCapacity(ref.job->team))) return false;
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
    m_ports.events.Emit("policy.no_reply", {{"step", FormatStepKey(step_key)},
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
