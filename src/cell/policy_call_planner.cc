#include "cell/policy_call_planner.h"

#include <algorithm>
#include <cmath>
#include <numbers>

#include "cell/policy_call_dispatcher.h"

namespace jaymast {
namespace {

/// Share of upstreams that the policy is expected to allow before the first reply for a queue.
constexpr double kInitialAllowedShare = 0.4;
constexpr double kMinAllowedShare = 0.05;  ///< so that a call is not ruled out by a few denials
constexpr double kAllowedShareWeight = 0.1;
/// Share of the slots that are still free when the reply arrives, as other work is placed during the call.
constexpr double kSlotsLeftAfterCall = 0.8;
constexpr Duration kMinRenewalDelay{120'000};
/// Bounds of the margin in standard deviations. Below the mean every second call would be in vain.
constexpr double kMinDeviations = 0.5;
constexpr double kMaxDeviations = 2.5;

/// Number of standard deviations above the mean at which one more upstream costs as much as it saves: the density of a
/// shortage times the cost of a further call equals the cost of the upstreams that one deviation takes.
double Deviations(const PolicyCallPlanner::Need& need, double deviation) {
  const double upstream_ms = need.per_upstream_ms * deviation / std::max(kMinAllowedShare, need.allowed_share);
  const double density = upstream_ms / std::max(1.0, need.call_ms) * std::sqrt(2 * std::numbers::pi);
  if (density >= 1) return kMinDeviations;
  return std::clamp(std::sqrt(-2 * std::log(std::max(1e-6, density))), kMinDeviations, kMaxDeviations);
}

}  // namespace

double PolicyCallPlanner::AllowedShare(const QueueId& queue) const {
  const auto found = m_allowed_share.find(queue);
  return found == m_allowed_share.end() ? kInitialAllowedShare : std::max(kMinAllowedShare, found->second);
}

void PolicyCallPlanner::OnReply(const QueueId& queue, std::size_t undecided, std::size_t allowed) {
  if (undecided == 0) return;
  double& share = m_allowed_share.try_emplace(queue, kInitialAllowedShare).first->second;
  share += (static_cast<double>(allowed) / static_cast<double>(undecided) - share) * kAllowedShareWeight;
}

bool PolicyCallPlanner::CanStart(const Need& need, const std::vector<Offer>& offers) {
  double expected = 0;
  std::size_t count = 0;
  for (const Offer& offer : offers) {
    if (++count > kMaxUpstreams) break;
    expected += (offer.is_allowed ? 1.0 : need.allowed_share) * static_cast<double>(offer.slots) * need.free_share;
    if (expected >= static_cast<double>(need.min_slots)) return true;
  }
  // A single task may also start with a small chance: there is nothing better to name.
  return need.min_slots == 1 && !offers.empty() && need.free_share > 0;
}

std::size_t PolicyCallPlanner::CountToName(const Need& need, const std::vector<Offer>& offers) {
  const std::size_t bound = std::min(offers.size(), kMaxUpstreams);
  double mean = 0;
  double variance = 0;
  for (std::size_t i = 0; i < bound; ++i) {
    const double probability = kSlotsLeftAfterCall * (offers[i].is_allowed ? 1.0 : need.allowed_share);
    const auto slots = static_cast<double>(offers[i].slots);
    mean += probability * slots;
    variance += probability * (1 - probability) * slots * slots;
    const double deviation = std::sqrt(variance);
    if (mean - Deviations(need, deviation) * deviation >= static_cast<double>(need.slots)) return i + 1;
  }
  return bound;
}

Duration PolicyCallPlanner::RenewalDelay(int unused_calls) {
  // Other work often takes the capacity that the first two calls were made for.
  constexpr int kCallsBeforeDelay = 2;
  return unused_calls > kCallsBeforeDelay ? kMaxRenewalDelay : kMinRenewalDelay;
}

double PolicyCallPlanner::ExpectedCallMs(const QueueId& queue, const PolicyConfig& policy, std::int64_t tasks) const {
  const double upstreams = static_cast<double>(tasks) / AllowedShare(queue);
  return policy.call_ms + policy.per_upstream_ms * std::min(upstreams, static_cast<double>(kMaxUpstreams));
}

void PolicyCallPlanner::SetLoad(std::size_t callers, const Queued& queued) {
  m_callers = callers;
  m_queued = queued;
}

Duration PolicyCallPlanner::ExpectedWait(double call_ms) const {
  const bool is_short = call_ms <= static_cast<double>(PolicyCallDispatcher::kMaxShortCallMs);
  const double queued_ms = is_short ? m_queued.short_ms : m_queued.long_ms;
  if (queued_ms <= 0) return Duration::zero();
  const auto callers = static_cast<double>(std::max<std::size_t>(1, m_callers));
  // Calls that are open end half a call from now on average, at the rate of all callers.
  return Duration(static_cast<std::int64_t>(1000 * (queued_ms + call_ms / 2) / callers));
}

}  // namespace jaymast
