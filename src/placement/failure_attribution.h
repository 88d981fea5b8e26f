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

/// Tells a bad worker, which fails what succeeds elsewhere, from a bad job, which fails on several good workers.
///
/// A bad worker is quarantined. When the quarantine ends, one task is started there as a probe. A probe that fails
/// doubles the next quarantine; one that succeeds ends it.
class FailureAttribution {
 public:
  /// Results remembered for each worker.
  static constexpr std::size_t kWorkerWindow = 8;

  /// Results remembered for each team and kind of work.
  static constexpr std::size_t kKindWindow = 32;

  /// Different jobs that must fail on a worker, and succeed elsewhere, before it is quarantined. Fewer would punish a
  /// worker for jobs that fail now and then.
  static constexpr std::size_t kWorkerFailures = 3;

  /// Good workers on which a job must fail before it is marked as bad.
  static constexpr std::size_t kJobFailures = 3;

  /// Workers on which a job must fail before it is marked as bad although none of them is known to be good.
  static constexpr std::size_t kJobFailuresAnywhere = 6;

  static constexpr Duration kFirstQuarantine = std::chrono::seconds(10);
  static constexpr Duration kLongestQuarantine = std::chrono::minutes(10);

  /// A probe without a result by then does not keep the next probe from starting.
  static constexpr Duration kProbeTimeout = std::chrono::minutes(5);

  /// Jobs and kinds remembered. The oldest are forgotten first.
  static constexpr std::size_t kMaxJobs = 20'000;
  static constexpr std::size_t kMaxKinds = 4096;

  /// Records that a task ended on an upstream. Cancelled and checkpointed tasks are not reported.
  void OnResult(const UpstreamId& upstream, const TaskSpec& spec, bool succeeded, Time now);

  /// Records that a task starts on an upstream, which makes it the probe if the upstream waits for one.
  void OnStart(const UpstreamId& upstream, Time now);

  /// Whether a task may start on the upstream: it is not quarantined, or it is due for a probe.
  bool MayStart(const UpstreamId& upstream, Time now) const;

  /// End of the present quarantine, or nothing when the upstream is not quarantined.
  std::optional<Time> QuarantinedUntil(const UpstreamId& upstream) const;

  /// Whether the job failed on enough good workers to be failed for good.
  bool IsFaultyJob(const TaskId& task) const;

  void RemoveUpstream(const UpstreamId& upstream) { m_workers.erase(upstream); }

  std::size_t MemoryBytes() const;

 private:
  using Hash = std::uint64_t;

  struct WorkerResult {
    Hash job = 0;
    Hash kind = 0;
    bool succeeded = false;
  };
  struct Worker {
    std::deque<WorkerResult> results;
    std::optional<Time> quarantined_until;
    std::optional<Time> probe_until;  ///< set while a probe runs
    int strikes = 0;                  ///< quarantines in a row
  };
  struct Job {
    std::vector<UpstreamId> failed_on;
    bool succeeded = false;
    bool bad = false;
  };
  struct KindResult {
    Hash upstream = 0;
    bool succeeded = false;
  };
  struct Kind {
    std::deque<KindResult> results;
  };

  void RecordWorker(Worker& worker, const WorkerResult& result, Time now);
  void RecordKind(Hash kind, Hash upstream, bool succeeded);
  void OnJobSucceeded(Hash job, Time now);
  void OnJobFailed(Hash job, const UpstreamId& upstream);
  void JudgeWorker(const UpstreamId& upstream, Time now);
  void Quarantine(Worker& worker, Time now);
  bool IsBlamed(const UpstreamId& upstream, const WorkerResult& result) const;
  bool SucceedsElsewhere(Hash kind, Hash upstream) const;
  bool IsGoodWorker(const UpstreamId& upstream, Hash excluded_job) const;

  std::unordered_map<UpstreamId, Worker> m_workers;
  std::unordered_map<Hash, Job> m_jobs;  ///< jobs that failed at least once
  std::deque<Hash> m_job_ages;
  std::unordered_map<Hash, Kind> m_kinds;
  std::deque<Hash> m_kind_ages;
};

}  // namespace jaymast
