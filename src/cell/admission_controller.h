#pragma once

#include <cstdint>
#include <map>

#include "base/id.h"
#include "base/time.h"

namespace jaymast {

/// The load that an arriving job meets.
struct AdmissionLoad {
  double total_cores = 0;
  double free_cores = 0;     ///< of total_cores, not held by any task
  double queued_cores = 0;   ///< demand of the waiting tasks that come before the job
  double queued_core_s = 0;  ///< their work
  double slack_s = 0;        ///< time that the job can wait and still be timely
  double weight = 1;         ///< jobs a second that the organisation is owed
};

struct AdmissionDecision {
  bool is_admitted = true;
  std::int64_t retry_after_s = 0;
};

/// Decides at arrival whether a job can still be served in time.
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
