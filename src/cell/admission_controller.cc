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
constexpr std::int64_t kMaxRetryAfterS = 10;

}  // namespace

AdmissionDecision AdmissionController::Decide(const TeamId& team, const AdmissionLoad& load, Time now) {
  Bucket& bucket = m_buckets[team];
  const double burst = std::max(1.0, load.weight * kBurstSeconds);
  if (bucket.is_new) {
    bucket = Bucket{burst, now, false};
  } else {
    const double elapsed_s = std::chrono::duration<double>(now - bucket.refilled_at).count();
    bucket.tokens = std::min(burst, bucket.tokens + elapsed_s * load.weight);
    bucket.refilled_at = now;
  }
  // Tasks that fit into the free capacity wait only for tickets or a commit, not for other tasks to end.
  const double blocked_share =
      load.queued_cores > load.free_cores ? (load.queued_cores - load.free_cores) / load.queued_cores : 0;
  const double wait_s = load.total_cores > 0 ? load.queued_core_s * blocked_share / load.total_cores : kMaxRetryAfterS;
  const bool is_within_weight = bucket.tokens >= 1.0;
  const double max_wait_s = is_within_weight ? load.slack_s * kMaxSlackShare : kMaxWaitBeyondWeightS;
  if (wait_s > max_wait_s) {
    const auto retry_s = static_cast<std::int64_t>(std::ceil(wait_s - max_wait_s));
    return {false, std::clamp<std::int64_t>(retry_s, 1, kMaxRetryAfterS)};
  }
  if (is_within_weight) bucket.tokens -= 1.0;
  return {true, 0};
}

}  // namespace jaymast
