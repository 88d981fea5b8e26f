#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/enum_names.h"
#include "base/id.h"
#include "base/time.h"
#include "jobs/cell_config.h"
#include "jobs/job_spec.h"
#include "placement/upstream_speeds.h"

namespace jaymast {

enum class JobState { kPending, kRunning, kCompleted, kFailed, kCancelled };

template <>
struct EnumNames<JobState> {
  static constexpr std::array<std::string_view, 5> kNames = {"pending", "running", "completed", "failed", "cancelled"};
};

constexpr bool IsFinal(JobState state) { return state != JobState::kPending && state != JobState::kRunning; }

enum class TaskPhase {
  kWaiting,   ///< has no upstream
  kAssigned,  ///< resources are allocated; the start is sent once this is committed
  kStarting,  ///< the start was sent and may have been received
  kRunning,
  kStopping,  ///< a stop was sent; keeps its allocation until the upstream reports the end
  kDone,
};

template <>
struct EnumNames<TaskPhase> {
  static constexpr std::array<std::string_view, 6> kNames = {"waiting", "assigned", "starting",
                                                             "running", "stopping", "done"};
};

/// Whether a task in this phase has resources allocated on its upstream.
constexpr bool HasAllocation(TaskPhase phase) { return phase != TaskPhase::kWaiting && phase != TaskPhase::kDone; }

/// Where the progress of a run is measured from, to learn how long it takes.
struct RunReference {
  Time since{};
  std::int32_t percent = -1;  ///< at `since`, -1 while unknown
  bool is_settled = false;    ///< the run was counted, or tells nothing
};

/// Identifies one task: the job, the occurrence, the step and the position in the step.
struct TaskKey {
  JobId job;
  std::size_t occurrence = 0;
  std::size_t step = 0;
  std::size_t index = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the zero in the generated comparison for a pointer
  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
  friend bool operator==(const TaskKey&, const TaskKey&) = default;
};

struct TaskState {
  TaskPhase phase = TaskPhase::kWaiting;
  std::int32_t run = 0;       ///< number of the last start, from 1
  std::int32_t failures = 0;  ///< runs that ended with a failure
  UpstreamId upstream;        ///< where the resources of the task are allocated
  std::string checkpoint;
  // Not stored: recovered from the upstream after a takeover.
  std::uint64_t token = 0;  ///< fencing token of the start
  std::int32_t send_attempts = 0;
  Time confirmed_at = Time::max();   ///< when the upstream acknowledged the start
  Time stop_retry_at = Time::max();  ///< when the stop is sent again
  Time progressed_at{};              ///< when the reported progress last changed
  std::int32_t percent = -1;
  RunReference reference;
  Duration percent_duration{};           ///< longest time that one percent took in this run, as reported
  int stalls = 0;                        ///< runs that were stopped because they made no progress
  std::int32_t checkpoint_percent = -1;  ///< progress at which the checkpoint was reported, -1 if unknown
  UpstreamId failed_on;                  ///< where the last run failed; avoided for the next one
  /// First member of a waiting gang whose reserved capacity the run uses. It is stopped once the gang can start then.
  std::optional<TaskKey> makes_way_for;
};

/// Keeps a reported checkpoint, unless it is empty.
inline void KeepCheckpoint(TaskState& task, const std::string& checkpoint) {
  if (checkpoint.empty() || checkpoint == task.checkpoint) return;
  task.checkpoint = checkpoint;
  task.checkpoint_percent = task.percent;
}

/// Permits tasks of one step to start on one upstream. Issued by the policy service.
struct Ticket {
  std::string text;
  Time expiry{};
  std::int64_t incarnation = 0;  ///< incarnation of the upstream for which the ticket is valid
};

/// State of one step of one occurrence.
struct StepState {
  std::vector<TaskState> tasks;
  std::map<UpstreamId, Ticket> tickets;         ///< of the upstreams that may run the step
  std::map<UpstreamId, bool> policy_decisions;  ///< whether each upstream asked about may run it
  int open_policy_calls = 0;
  Time next_policy_call_at{};               ///< earliest next call to the policy service
  Time policy_call_overdue_at{};            ///< when the open call should have been answered
  std::int64_t waiting_at_policy_call = 0;  ///< tasks without an upstream at the last call
  int unused_policy_calls = 0;  ///< calls for a start in a row, up to the last one, without a task placed since
  bool can_fit_later = true;    ///< whether the usable upstreams could hold waiting tasks, as last checked
  Time next_fit_check_at{};
  Time idle_since{};           ///< since when its turn has come and nothing of it has run, zero if something runs
  Time next_wait_report_at{};  ///< earliest next event about the wait
  Time next_reservation_report_at{};  ///< earliest next event about the capacity that is reserved for it
  Time held_back_until{};     ///< end of its wait because of reserved capacity, zero if it has not waited for it
  Time vacating_until{};      ///< no other tasks are placed in the capacity that is reserved for it until then
  Time next_vacating_at{};    ///< earliest next time at which runs are stopped for it
  std::int64_t waiting = 0;   ///< tasks without an upstream
  std::int64_t not_done = 0;  ///< tasks that are not done
  bool is_gang_done = false;  ///< one member has completed, which completes all
  StepRunTime run_time;       ///< learned from its runs in this term
  std::int32_t last_failed_gang_run = 0;  ///< highest run of the gang that was counted as failed
};

/// One execution of a job; a scheduled job has several. Exists from its due time until its end is recorded.
struct Occurrence {
  std::vector<StepState> steps;
  std::int64_t steps_left = 0;  ///< steps that are not done
  bool is_done = false;
  std::uint64_t unrecorded_since = 0;  ///< first change that the record of the occurrence lacks, 0 if it is current
};

/// Expected times of a step at mean upstream speed, in ms.
struct StepTimes {
  double run_ms = 0;    ///< of a task
  double after_ms = 0;  ///< of the longest chain of later steps that wait for the step
};

/// A job and the state of its tasks.
struct Job {
  JobId id;
  QueueId queue;
  /// Settings of the queue at acceptance, without host and prefix. In force once the queue has been removed. Without a
  /// service if the job was accepted by a version that did not record them.
  QueueConfig accepted_queue;
  TeamId team;  ///< organisation of the client
  JobSpec spec;
  std::string call_id;  ///< of the call that submitted the job
  JobState state = JobState::kPending;
  JobState committed_state = JobState::kPending;  ///< the only state that clients see
  std::map<std::size_t, Occurrence> occurrences;  ///< open ones by number
  std::size_t next_occurrence = 0;                ///< all lower numbers are open or done
  bool has_started = false;                       ///< a task has been started
  Time accepted{};
  Time objective{};              ///< latest completion that meets the latency objective
  Time hard_deadline{};          ///< latest completion whose result is of use
  double stretched_path_ms = 0;  ///< part of the objective that grows with the run times
  std::vector<StepTimes> step_times;
  std::int64_t recorded_at_ms = 0;  ///< store clock at acceptance

  // Changes are numbered; those up to `committed_change` are in the store.
  std::uint64_t change = 0;
  std::uint64_t committed_change = 0;
  bool is_queued_for_commit = false;
  /// Occurrences of a scheduled job whose records are out of date, in the order of their first missing change.
  std::deque<std::size_t> unrecorded_occurrences;
  bool is_spec_recorded = false;
  bool is_final_recorded = false;
  std::vector<std::pair<std::uint64_t, std::function<void()>>> commit_callbacks;
};

}  // namespace jaymast
