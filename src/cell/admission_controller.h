#pragma once

#include <cstdint>
#include <map>

#include "base/id.h"
#include "base/time.h"

namespace jaymast {

/// Load of the cell when a job arrives.
struct AdmissionLoad {
  double total_cores = 0;
  double free_cores = 0;     ///< part of total_cores that no task holds
  double queued_cores = 0;   ///< demand of the waiting tasks that are scheduled before the job
  double queued_core_s = 0;  ///< estimated work of those tasks
  double slack_s = 0;        ///< time that the job can wait and still meet its objective
  double weight = 1;         ///< guaranteed admission rate of the organisation in jobs/s
};

struct AdmissionDecision {
  bool is_admitted = true;
  std::int64_t retry_after_s = 0;  ///< set for a refused job
};

/// Decides at arrival whether a job can be completed in time.
///
/// Each organisation has a token bucket that refills at its weight. Jobs beyond it are admitted only if the wait is
/// short.
class AdmissionController {
 public:
  AdmissionDecision Decide(const TeamId& team, const AdmissionLoad& load, Time now);

 private:
  struct Bucket {
    double tokens = 0;
    Time refilled_at{};
    bool is_new = true;
  };
  std::map<TeamId, Bucket> m_buckets;
};

}  // namespace jaymast
