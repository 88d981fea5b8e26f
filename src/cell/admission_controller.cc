#include "cell/admission_controller.h"

#include <algorithm>
#include <cmath>

namespace jaymast {
namespace {

/// Burst of an organisation, in seconds of its weight.
constexpr double kBurstSeconds = 2.0;
/// Jobs beyond the weight of the organisation are admitted only while the expected wait is below this time.
constexpr double kMaxWaitBeyondWeightS = 0.5;
/// Part of the slack that waiting may use up; the rest covers inaccurate estimates and fragmented capacity.
constexpr double kMaxSlackShare = 0.8;
/// A queue drains at least at this share of the capacity, however much work of higher priority arrives, as that work
/// is itself bounded by admission.
constexpr double kMinDrainShare = 0.1;
constexpr std::int64_t kMaxRetryAfterS = RetrySchedule::kMaxDelayS;

std::int64_t RetryAfter(double delay_s) {
  return static_cast<std::int64_t>(std::clamp(std::ceil(delay_s), 1.0, static_cast<double>(kMaxRetryAfterS)));
}

}  // namespace

AdmissionController::Bucket& AdmissionController::Refill(const TeamId& team, double weight, Time now) {
  Bucket& bucket = m_buckets[team];
  const double burst = std::max(1.0, weight * kBurstSeconds);
  if (bucket.is_new) {
    bucket = Bucket{burst, now, false};
  } else {
    const double elapsed_s = std::chrono::duration<double>(now - bucket.refilled_at).count();
    bucket.tokens = std::min(burst, bucket.tokens + elapsed_s * weight);
    bucket.refilled_at = now;
  }
  return bucket;
}

AdmissionDecision AdmissionController::Decide(const TeamId& team, const AdmissionLoad& load, Time now) {
  Bucket& bucket = Refill(team, load.weight, now);
  // Tasks that fit into the free capacity wait only for tickets or a commit, not for other tasks to end.
  const double blocked_share =
      load.queued_cores > load.free_cores ? (load.queued_cores - load.free_cores) / load.queued_cores : 0;
  const double wait_s = load.total_cores > 0 ? load.queued_core_s * blocked_share / load.total_cores : kMaxRetryAfterS;
  const bool is_within_weight = bucket.tokens >= 1.0;
  const double max_wait_s = is_within_weight ? load.slack_s * kMaxSlackShare : kMaxWaitBeyondWeightS;
  if (wait_s > max_wait_s) return {false, RetryAfter(wait_s - max_wait_s), RefusalCause::kCores, wait_s};
  if (is_within_weight) bucket.tokens -= 1.0;
  return {true, 0, RefusalCause::kNone, wait_s};
}

double AdmissionController::WaitForCores(const AdmissionRequest& request, double urgent_cores) {
  // What the last placement pass left free can't be used by the work that waits for cores, only by claims.
  const double available = std::max(0.0, request.free_cores - request.claimed_cores);
  if (available >= request.needed_cores) return 0;
  if (request.total_cores <= 0) return kMaxRetryAfterS;
  const double missing_share = request.is_gang ? 1.0 : 1.0 - available / request.needed_cores;
  const double excess_claims =
      request.claimed_cores > request.free_cores ? 1.0 - request.free_cores / request.claimed_cores : 0;
  const double queued_core_s = request.queued_core_s + request.claimed_core_s * excess_claims;
  return missing_share * queued_core_s /
         std::max(request.total_cores * kMinDrainShare, request.total_cores - urgent_cores);
}

AdmissionDecision AdmissionController::Decide(const TeamId& team, const AdmissionRequest& request, Time now) {
  Bucket& bucket = Refill(team, request.weight, now);
  if (!request.can_fit) return {false, kMaxRetryAfterS, RefusalCause::kNoFit, 0};
  WorkRate& core_rate = m_core_rates[request.service];
  const double core_wait_s = WaitForCores(request, core_rate.RateAbove(request.priority, now));
  const double wait_s = std::max(core_wait_s, request.team_wait_s) + request.policy_wait_s;
  // Even alone on all cores the job takes the time for its own work.
  const double work_s = request.total_cores > 0 ? request.work_core_s / request.total_cores : 0;
  const double own_s = std::max(request.critical_path_s, work_s);
  if (own_s > request.useful_s) return {false, kMaxRetryAfterS, RefusalCause::kTooLate, wait_s};

  const bool is_within_weight = bucket.tokens >= 1.0;
  const double in_time_s = std::max(0.0, request.slack_s * kMaxSlackShare);
  // The queue at the limit of an organisation delays no other one, and its jobs start in any order in which the limit
  // holds them. So such a job is admitted unless it is certainly of no use.
  const double shared_wait_s = core_wait_s + request.policy_wait_s;
  const bool is_in_time = shared_wait_s <= in_time_s && wait_s + own_s <= request.useful_s;
  if (is_in_time && (is_within_weight || shared_wait_s <= kMaxWaitBeyondWeightS)) {
    if (is_within_weight) bucket.tokens -= 1.0;
    core_rate.Add(request.priority, request.work_core_s, now);
    return {true, 0, RefusalCause::kNone, wait_s};
  }
  AdmissionDecision refusal{false, 1, RefusalCause::kCores, wait_s};
  double earliest_s = shared_wait_s - in_time_s;
  if (request.total_cores <= 0) {
    refusal.cause = RefusalCause::kNoUpstream;
    // When upstreams return is unknown, and callers wait only a few seconds in all.
    earliest_s = 1;
  } else if (is_in_time) {
    refusal.cause = RefusalCause::kBeyondWeight;
    earliest_s = shared_wait_s - kMaxWaitBeyondWeightS;
    if (request.weight > 0) earliest_s = std::min(earliest_s, (1.0 - bucket.tokens) / request.weight);
  } else if (request.team_wait_s > core_wait_s && shared_wait_s <= in_time_s) {
    refusal.cause = RefusalCause::kTeamLimit;
    earliest_s = wait_s + own_s - request.useful_s;
  } else if (wait_s + own_s > request.useful_s) {
    refusal.cause = RefusalCause::kTooLate;
  } else if (request.policy_wait_s > core_wait_s) {
    refusal.cause = RefusalCause::kPolicy;
  }
  refusal.retry_after_s = m_retries.Reserve(now, earliest_s, work_s, request.priority);
  return refusal;
}

}  // namespace jaymast
