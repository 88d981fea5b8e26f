#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "model/task_spec.h"

namespace jaymast {

/// Attributes failures to upstreams or to jobs. A job is a task with all its attempts.
///
/// An upstream is faulty if it fails jobs that succeed elsewhere; a job is faulty if it fails on several reliable
/// upstreams. A faulty upstream is quarantined. At the end of the quarantine one task is started there as a probe. A
/// probe that succeeds ends the quarantine; one that fails doubles it, up to kMaxQuarantine.
class FailureAttribution {
 public:
  /// Results kept for each upstream.
  static constexpr std::size_t kUpstreamWindow = 8;

  /// Results kept for each team and kind of work.
  static constexpr std::size_t kKindWindow = 32;

  /// Distinct jobs with a failure attributed to an upstream before it is quarantined. Fewer would quarantine upstreams
  /// for jobs that fail occasionally.
  static constexpr std::size_t kFailedJobsForQuarantine = 3;

  /// Reliable upstreams on which a job must fail to count as faulty.
  static constexpr std::size_t kReliableUpstreamsForFaultyJob = 3;

  /// Upstreams on which a job must fail to count as faulty even if none of them is known to be reliable.
  static constexpr std::size_t kUpstreamsForFaultyJob = 6;

  static constexpr Duration kInitialQuarantine = std::chrono::seconds(10);
  static constexpr Duration kMaxQuarantine = std::chrono::minutes(10);

  /// Time after which a probe without a result no longer prevents the next one.
  static constexpr Duration kProbeTimeout = std::chrono::minutes(5);

  /// Maximum number of jobs and kinds. The oldest are evicted first.
  static constexpr std::size_t kMaxJobs = 20'000;
  static constexpr std::size_t kMaxKinds = 4096;

  /// Records that a task succeeded or failed on an upstream. Not for cancelled and checkpointed tasks.
  void OnResult(const UpstreamId& upstream, const TaskSpec& spec, bool succeeded, Time now);

  /// Records that a task starts on an upstream. It is the probe if the quarantine of the upstream is over.
  void OnStart(const UpstreamId& upstream, Time now);

  /// Whether a task can start on the upstream: it is not quarantined, or a probe is due.
  bool MayStart(const UpstreamId& upstream, Time now) const;

  /// End of the current quarantine, or nothing if the upstream is not quarantined.
  std::optional<Time> QuarantinedUntil(const UpstreamId& upstream) const;

  /// Whether the job has failed on enough upstreams not to be retried.
  bool IsFaultyJob(const TaskId& task) const;

  void RemoveUpstream(const UpstreamId& upstream) { m_histories.erase(upstream); }

  std::size_t MemoryBytes() const;

 private:
  using Hash = std::uint64_t;

  struct UpstreamResult {
    Hash job = 0;
    Hash kind = 0;
    bool succeeded = false;
  };
  struct UpstreamHistory {
    std::deque<UpstreamResult> results;
    std::optional<Time> quarantined_until;
    std::optional<Time> probe_until;  ///< set while a probe runs, to when it times out
    int quarantine_count = 0;         ///< since the last full window of successes
  };
  struct Job {
    std::vector<UpstreamId> failed_on;
    bool succeeded = false;
    bool is_faulty = false;
  };
  struct KindResult {
    Hash upstream = 0;
    bool succeeded = false;
  };
  struct Kind {
    std::deque<KindResult> results;
  };

  void RecordUpstreamResult(UpstreamHistory& history, const UpstreamResult& result, Time now);
  void RecordKindResult(Hash kind, Hash upstream, bool succeeded);
  void OnJobSucceeded(Hash job, Time now);
  void OnJobFailed(Hash job, const UpstreamId& upstream);
  void EvaluateUpstream(const UpstreamId& upstream, Time now);
  void Quarantine(UpstreamHistory& history, Time now);
  bool IsUpstreamAtFault(const UpstreamId& upstream, const UpstreamResult& result) const;
  bool SucceedsElsewhere(Hash kind, Hash upstream) const;
  bool IsReliable(const UpstreamId& upstream, Hash excluded_job) const;

  std::unordered_map<UpstreamId, UpstreamHistory> m_histories;
  std::unordered_map<Hash, Job> m_jobs;  ///< jobs with at least one failure
  std::deque<Hash> m_jobs_by_age;
  std::unordered_map<Hash, Kind> m_kinds;
  std::deque<Hash> m_kinds_by_age;
};

}  // namespace jaymast
