#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "base/time.h"
#include "jobs/cell_config.h"
#include "jobs/job_spec.h"

namespace jaymast {

/// Decides whether a waiting step should call the policy service, and which upstreams the call names.
///
/// The load: more gangs and batch steps wait than 38 instances can call for, with one call at a time each, 455 ms for a
/// call and 6.5 ms for each upstream named. So a call that ends without a start costs other steps theirs.
class PolicyCallPlanner {
 public:
  /// An upstream that a call may name, without those that are known to be denied or have a valid ticket.
  struct Offer {
    std::int64_t slots = 0;   ///< tasks of the step that have room on it, from 1
    bool is_allowed = false;  ///< known to be allowed; the policy never changes what it allows a step
  };

  /// What a step needs and what its call costs.
  struct Need {
    std::int64_t slots = 0;      ///< waiting tasks beyond those that fit on upstreams with valid tickets
    std::int64_t min_slots = 1;  ///< fewer slots are of no use: all of them for a gang, 1 for other steps
    double call_ms = 0;          ///< fixed part of the call
    double per_upstream_ms = 0;
    double allowed_share = 1;  ///< expected share of allowed upstreams
    double free_share = 1;     ///< share of the free capacity that steps with a higher claim leave
  };

  /// Share of the upstreams that the policy is expected to allow a step of a queue.
  double AllowedShare(const QueueId& queue) const;
  /// Learns from a reply.
  /// @param undecided upstreams in the call for which the decision was not known, none if all were known
  void OnReply(const QueueId& queue, std::size_t undecided, std::size_t allowed);

  /// Whether enough slots are expected to be allowed for a start.
  static bool CanStart(const Need& need, const std::vector<Offer>& offers);
  /// Number of offers to name, taken from the front: as many as are expected to minimise the time of the call and of a
  /// further one if too few are allowed. At most `kMaxUpstreams`.
  static std::size_t CountToName(const Need& need, const std::vector<Offer>& offers);

  /// Delay after a reply before the next call for the same step. Longer from the third call in a row after which
  /// no task of the step was placed, up to `kMaxRenewalDelay`.
  static Duration RenewalDelay(int unused_calls);

  /// Calls for which no instance was free in a pass, as expected durations.
  struct Queued {
    double short_ms = 0;  ///< up to PolicyCallDispatcher::kMaxShortCallMs; wait only for each other
    double long_ms = 0;
  };
  /// Expected duration of a call for all tasks of a step.
  double ExpectedCallMs(const QueueId& queue, const PolicyConfig& policy, std::int64_t tasks) const;
  /// Sets the load for ExpectedWait().
  /// @param callers instances that can make long calls
  void SetLoad(std::size_t callers, const Queued& queued);
  /// How long a new step would wait until an instance is free for a call of `call_ms`; zero while instances are free.
  Duration ExpectedWait(double call_ms) const;

  /// Longer pauses save calls, but gangs then miss capacity that becomes free.
  static constexpr Duration kMaxRenewalDelay{240'000};
  static constexpr std::size_t kMaxUpstreams = 100;  ///< limit of the policy service

 private:
  std::map<QueueId, double> m_allowed_share;  ///< running mean
  std::size_t m_callers = 0;
  Queued m_queued;
};

}  // namespace jaymast
