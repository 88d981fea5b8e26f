#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string_view>

#include "base/enum_names.h"
#include "base/id.h"
#include "base/time.h"
#include "cell/retry_schedule.h"
#include "cell/work_rate.h"
#include "jobs/cell_config.h"

namespace jaymast {

/// Load of the cell when a job arrives, all waiting work taken as one queue. Decides while `admission_by_cause` is off.
struct AdmissionLoad {
  double total_cores = 0;
  double free_cores = 0;     ///< part of total_cores that no task holds
  double queued_cores = 0;   ///< demand of the waiting tasks that are scheduled before the job
  double queued_core_s = 0;  ///< estimated work of those tasks
  double slack_s = 0;        ///< time that the job can wait and still meet its objective
  double weight = 1;         ///< guaranteed admission rate of the organisation in jobs/s
};

/// A job that arrives, and the load before it by cause. Contains only work that is scheduled before the job.
struct AdmissionRequest {
  // The job.
  ServiceId service;
  std::int64_t priority = 0;   ///< 0 is the highest
  double needed_cores = 0;     ///< demand of the tasks that may start at once
  double work_core_s = 0;      ///< expected work of all its tasks
  double critical_path_s = 0;  ///< expected time from its first start to its end, with its policy calls
  double slack_s = 0;          ///< time that the job can wait and still meet its objective
  double useful_s = 0;         ///< its result is of no use later than this after its arrival
  bool is_gang = false;        ///< starts only if there is capacity for all its first tasks
  bool can_fit = true;         ///< the usable upstreams and the limit of the organisation can hold each of its steps
  double weight = 1;           ///< guaranteed admission rate of the organisation in jobs/s
  // Cores.
  double total_cores = 0;     ///< of the usable upstreams of the service
  double free_cores = 0;      ///< free capacity that the job could use, counted up to what it and the claims need
  double claimed_cores = 0;   ///< demand of work that will start in the free capacity, such as work with a ticket soon
  double claimed_core_s = 0;  ///< expected work of the claims
  double queued_core_s = 0;   ///< work that waits for cores
  // Other waits.
  double policy_wait_s = 0;  ///< for the policy calls of the job
  double team_wait_s = 0;    ///< for the limit of the organisation, 0 if the limit has room for the job
};

enum class RefusalCause {
  kNone,
  kNoFit,         ///< larger than what the usable upstreams will ever hold
  kTooLate,       ///< its result would be of no use
  kCores,         ///< late, as the queue for cores is longer than its slack
  kPolicy,        ///< late, as the wait for policy calls is longer than its slack
  kTeamLimit,     ///< late, as the queue of its organisation is longer than its slack
  kBeyondWeight,  ///< would wait, and its organisation has used up its weight
  kNoUpstream,    ///< no usable upstream
};

/// Texts of the field `reason` of the event `job.refused`.
template <>
struct EnumNames<RefusalCause> {
  static constexpr std::array<std::string_view, 8> kNames = {"none",
                                                             "larger than the upstreams",
                                                             "certainly too late",
                                                             "queue is longer than the slack",
                                                             "policy calls take longer than the slack",
                                                             "organisation is at its limit",
                                                             "beyond the weight",
                                                             "no upstream is usable"};
};

struct AdmissionDecision {
  bool is_admitted = true;
  std::int64_t retry_after_s = 0;  ///< set for a refused job
  RefusalCause cause = RefusalCause::kNone;
  double wait_s = 0;  ///< expected wait of the job
};

/// Decides at arrival whether a job can be completed in time.
///
/// Each organisation has a token bucket that refills at its weight. Jobs beyond it are admitted only if the wait is
/// short.
///
/// Load: a cell that is full, or whose work waits for something else than cores, and bursts of one organisation of many
/// times its usual load. Free capacity is never refused to a job because of a queue that cannot use it.
class AdmissionController {
 public:
  AdmissionDecision Decide(const TeamId& team, const AdmissionLoad& load, Time now);
  AdmissionDecision Decide(const TeamId& team, const AdmissionRequest& request, Time now);

  /// Expected time until the first tasks of the job have cores.
  /// @param urgent_cores cores that work of higher priority takes as it arrives
  static double WaitForCores(const AdmissionRequest& request, double urgent_cores = 0);

 private:
  struct Bucket {
    double tokens = 0;
    Time refilled_at{};
    bool is_new = true;
  };

  Bucket& Refill(const TeamId& team, double weight, Time now);

  std::map<TeamId, Bucket> m_buckets;
  RetrySchedule m_retries;
  std::map<ServiceId, WorkRate> m_core_rates;  ///< in core-seconds per second
};

}  // namespace jaymast
