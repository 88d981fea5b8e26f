#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "cell/admission_controller.h"
#include "cell/cell_event_sink.h"
#include "cell/cell_options.h"
#include "cell/client_call.h"
#include "cell/early_cancels.h"
#include "cell/feed_freshness.h"
#include "cell/group_committer.h"
#include "cell/lease_record.h"
#include "cell/policy_call_dispatcher.h"
#include "cell/policy_call_planner.h"
#include "cell/policy_client.h"
#include "cell/record_log.h"
#include "cell/refused_calls.h"
#include "cell/upstream_client.h"
#include "cell/upstream_selector.h"
#include "cell/upstream_state.h"
#include "cell/wait_reason.h"
#include "cell/waiting_work.h"
#include "jobs/cell_config.h"
#include "jobs/job.h"
#include "placement/run_time_model.h"
#include "placement/upstream_speeds.h"

namespace jaymast {

/// Leadership status, refreshed at each tick.
struct LeadershipStatus {
  Time confirmed_at{};                ///< no other leader existed at this time
  bool is_store_stalled = false;      ///< the store does not reply to this leader, but may reply to other instances
  bool is_store_unavailable = false;  ///< the stall is so long that no other instance can reach the store either
  std::int64_t store_now_ms = 0;
  std::int64_t max_store_now_ms = 0;  ///< latest possible store clock
  std::int64_t unix_now_ms = 0;       ///< time of day, which may jump
};

/// Schedules jobs on the leader: accepts them, places, starts and stops their tasks, and records jobs and tasks.
///
/// No sockets, clocks or threads. A start is sent only after its assignment is in the store, and an end is
/// acknowledged to its upstream only after it is in the store.
class Scheduler {
 public:
  struct Ports {
    UpstreamClient& upstreams;
    PolicyClient& policy;
    CellEventSink& events;
    CellOptions options;
    FeedBounds feed_bounds;
  };

  /// @param epoch number of the takeover; all fencing tokens of this leader are above those of earlier ones
  /// @param on_fenced called when an upstream has seen the fencing token of a later leader
  Scheduler(Ports ports, std::uint64_t epoch, Time now, std::function<void()> mark_dirty,
            std::function<void()> on_fenced);

  // Loading of recorded jobs, before the first tick.
  void LoadRow(const StateRow& row, const std::vector<LogRecord>& records) { m_log.AddLoadedRow(row, records); }
  void LoadJob(Job job, std::int64_t age_ms);
  /// @param store_now_ms store clock when the bounds were read, or earlier
  void LoadLeaseBounds(const LeaseBounds& bounds, std::int64_t store_now_ms);
  /// Loads a row of cancels that earlier leaders have acknowledged.
  /// @param store_now_ms store clock when the row was read, or earlier
  void LoadEarlyCancels(const StateRow& row, std::int64_t store_now_ms);
  /// Adds the speeds that an earlier leader has learned. May come at any time.
  void LoadSpeeds(const std::vector<LearnedSlowness>& speeds);
  /// Computes the allocated capacity of upstreams and organisations from the recorded jobs.
  void FinishLoading();

  // Changes from the platform.
  void OnConfig(std::shared_ptr<const CellConfig> config);
  /// What was reported on the topic was current at this time.
  void OnTopicCurrent(FeedTopic topic, Time as_of) { m_freshness.Confirm(topic, as_of); }
  void OnDomainsOutOfService(std::set<DomainId> domains);
  void OnUpstreamListed(UpstreamListing listing);
  void OnUpstreamUnlisted(const UpstreamId& id);
  /// Unlists all upstreams that are not in the complete list.
  void OnUpstreamListComplete(const std::set<UpstreamId>& listed);

  void SetPolicyCallers(const std::vector<std::string>& addresses) {
    m_policy_calls.SetPolicyCallers(addresses);
    m_policy_callers = addresses.size();
  }
  /// Ignores all later callbacks.
  void Retire() { m_is_retired = true; }
  void SetLeadershipStatus(const LeadershipStatus& status) { m_leadership = status; }

  void OnClientCall(const ClientCall& call, const ClientReplyFunction& reply);
  /// Sets the current time until the next tick.
  void SetNow(Time now);
  void OnTick(Time now);

  /// Returns the rows that have changed since the last call.
  CommitBatch CollectBatch();

  /// Version of the configuration, 0 if there is none.
  std::int64_t config_version() const { return m_config == nullptr ? 0 : m_config->version; }
  std::size_t active_jobs() const { return m_active.size(); }
  std::size_t known_jobs() const { return m_jobs.size(); }
  std::size_t uncommitted_jobs() const { return m_commit_queue.size(); }
  std::size_t record_rows() const { return m_log.rows(); }
  std::size_t upstreams() const { return m_upstreams.size(); }
  std::size_t CountUsableUpstreams() const;
  /// Pairs of a waiting step and an upstream that placement has examined, which its processor time grows with.
  std::uint64_t placement_checks() const { return m_placement_checks; }
  /// Waiting steps that placement passes have examined, each counted once a pass.
  std::uint64_t step_placements() const { return m_step_placements; }
  std::size_t CountUnacknowledgedEnds() const;
  const FeedFreshness& freshness() const { return m_freshness; }
  /// Actions that wait for a transaction, over all jobs.
  std::size_t CountCommitCallbacks() const;
  std::size_t postponed_starts() const { return m_postponed_starts.size(); }
  /// Bytes of the changed records that wait for the next transaction.
  std::size_t pending_record_bytes() const { return m_log.pending_bytes(); }
  /// Longest time for which nothing of a step has run although its turn has come, as of the last placement pass.
  Duration longest_wait() const { return m_longest_wait; }
  /// Steps with waiting tasks, as of the last placement pass.
  std::size_t waiting_steps() const { return m_waiting_steps; }
  const UpstreamSpeeds& speeds() const { return m_speeds; }
  const RunTimeModel& run_times() const { return m_run_times; }
  const PolicyCallDispatcher& policy_calls() const { return m_policy_calls; }
  const EarlyCancels& early_cancels() const { return m_early_cancels; }
  const WaitingWork& waiting_work() const { return m_waiting_work; }
  const PolicyCallPlanner& policy_planner() const { return m_policy_planner; }

 private:
  /// Tasks of earlier leaders on unreachable upstreams have ended this long after the takeover, as no lease lasts
  /// longer.
  static constexpr Duration kMaxLease{10'800'000};
  /// Reachable upstreams reply to a new leader within this time.
  static constexpr Duration kAdoptionTime{1'000'000};
  /// Time for replies that are in flight when a lease expires.
  static constexpr Duration kLeaseExpiryMargin{300'000};
  static constexpr int kUnreachableAfterFailedSyncs = 2;
  /// A stop is sent again after this time unless the end of the run was reported.
  static constexpr Duration kStopRetryDelay{500'000};
  /// An upstream that refused a start or was unreachable gets no start for this time.
  static constexpr Duration kRefusalQuarantine{700'000};

  /// Order in which waiting steps are placed, before their priority.
  enum class Urgency {
    kRestart,       ///< part of a long-running step is down
    kTimely,        ///< before the objective, or a long-running step, whose age says nothing
    kLate,          ///< between the objective and the hard deadline
    kPastDeadline,  ///< past the hard deadline
  };

  struct StepRef {
    Job* job = nullptr;
    std::size_t occurrence = 0;
    std::size_t step = 0;
    Urgency urgency = Urgency::kTimely;
    std::int64_t priority = 0;
    Time latest_start{};              ///< at which the job is expected to meet its objective
    bool reserves_upstreams = false;  ///< a gang for which upstreams are reserved once it has tickets
  };

  // scheduler.cc
  Job* FindJob(const JobId& id);
  TaskState* FindTask(const TaskKey& key);
  /// A task of the step runs.
  static void OnRunning(StepState& step) {
    step.idle_since = Time{};
    step.held_back_until = Time{};
  }
  static StepState& StepOf(Job& job, const TaskKey& key) { return job.occurrences.at(key.occurrence).steps[key.step]; }
  const QueueConfig* QueueOf(const Job& job) const;
  /// Age of what the feeds have reported on the topic, for events.
  std::string AgeMs(FeedTopic topic) const { return std::to_string(ToMillis(m_freshness.AgeAt(topic, m_now))); }
  void MarkChanged(Job& job);
  /// Like MarkChanged(job), for a change that the record of one occurrence shows.
  void MarkChanged(Job& job, std::size_t occurrence);
  /// Calls `action` once all changes of the job up to now are committed.
  void WhenCommitted(Job& job, std::function<void()> action);
  void AllocateCapacity(Job& job, const TaskKey& key, TaskState& task, const UpstreamId& upstream);
  void ReleaseCapacity(Job& job, const TaskKey& key, TaskState& task);
  /// Sets the deadlines of a job and the expected times of its steps.
  void SetObjective(Job& job);
  /// Expected run time of a task of a step at mean upstream speed, in ms.
  double ExpectedRunMs(const Job& job, const QueueConfig& queue, std::size_t step) const;
  /// Learns the run time that the tasks of a completed step have shown.
  void LearnFromStep(const Job& job, const TaskKey& key, const StepState& step);
  void FinishTask(Job& job, const TaskKey& key, TaskState& task);
  void EndJob(Job& job, JobState state);
  /// Opens the occurrences that are due, as far as the job may have more tasks open.
  /// @return whether no occurrence of the job remains to be opened
  bool OpenDueOccurrences(Job& job);
  bool IsNextOccurrenceDue(const Job& job) const;
  /// Whether the job may open one more occurrence.
  static bool MayOpenOccurrence(const Job& job);
  static bool HasNoProgress(const Job& job);
  /// Adds the changes of a job to the next transaction, up to its size limit.
  /// @return number of the last change that the records of the job show
  std::uint64_t PutRecords(Job& job);
  /// Adds the records of changed occurrences of a scheduled job, and discards the occurrences that have ended.
  void PutOccurrences(Job& job);
  /// Adds a current record again, so that its row can be removed.
  void CompactRecord(const RecordLog::RecordRef& item);

  // scheduler_clients.cc
  void Decide(const ClientCall& call, const ClientReplyFunction& reply);
  /// Replies to a call that the known configuration must not decide.
  /// @param priority of the queue, if it is known
  void ReplyUndecided(const ClientCall& call, std::int64_t priority, const ClientReplyFunction& reply);
  void Acknowledge(Job& job, const ClientReplyFunction& reply);
  void Submit(const ClientCall& call, const QueueConfig& queue, const JobId& id, const TeamId& team,
              const ClientReplyFunction& reply);
  void Cancel(Job& job, const ClientReplyFunction& reply);
  /// Cancels a job whose submission may arrive later.
  void CancelUnknownJob(const ClientCall& call, const QueueConfig& queue, const JobId& id, const TeamId& team,
                        const ClientReplyFunction& reply);
  std::int64_t CountWaitingJobs(const QueueId& queue) const;
  /// Time after which a caller that is refused during an outage of the store should retry, in seconds.
  std::int64_t OutageRetryAfterS(std::int64_t priority);
  AdmissionDecision DecideAdmission(Job& job, const QueueConfig& queue);
  /// The load while `admission_by_cause` is off.
  AdmissionLoad DescribeLoad(const Job& job, const QueueConfig& queue) const;
  AdmissionRequest DescribeRequest(Job& job, const QueueConfig& queue);
  /// Adds the work of the job, its objective and its expected policy calls.
  void DescribeWork(Job& job, const QueueConfig& queue, AdmissionRequest& request) const;
  /// Adds the free capacity that the first steps of the job could use.
  void CountFreeCores(Job& job, const QueueConfig& queue, AdmissionRequest& request) const;
  /// Whether the upstreams in service and the limit of the organisation can hold the step. True while there are none.
  bool CanEverFit(Job& job, std::size_t step, const QueueConfig& queue) const;
  /// Whether the upstream belongs to the service and is not about to leave. It may be silent at present.
  bool IsInService(const UpstreamState& upstream, const ServiceId& service) const;
  /// Like IsUsable(), but right after a takeover also upstreams that have not replied yet.
  bool IsExpectedUsable(const UpstreamState& upstream, const ServiceId& service) const;
  bool IsAdopting() const { return m_now - m_took_over_at < kAdoptionTime; }
  /// Cores of the usable upstreams of a service.
  double UsableCores(const ServiceId& service);
  double WeightOf(const TeamId& team) const;
  /// Largest share of the limit of the organisation that the demand takes in one resource, 0 without a limit.
  double ShareOfLimit(const TeamId& team, const Resources& demand) const;
  double ExpectedRunMs(const QueueConfig& queue, const StepSpec& step) const;
  /// Expected wait of a new step for its policy call. The queue has a policy.
  double ExpectedPolicyWaitMs(const QueueConfig& queue) const;
  WaitCause FindWaitCause(const StepRef& ref, bool is_ready) const;
  /// Adds the waiting tasks of a step to the sums, after it was placed.
  /// @param is_ready whether the steps that it depends on are done
  void CountWaitingStep(const StepRef& ref, bool is_ready);
  /// Adds the tasks of a job that was accepted after the last placement pass.
  void CountAcceptedWork(const Job& job, const QueueConfig& queue);
  WaitingAmount AmountOf(const Job& job, const QueueConfig& queue, const StepSpec& spec, const StepState& step) const;

  // scheduler_orders.cc
  void Assign(Job& job, const TaskKey& key, const UpstreamId& upstream);
  void SendStart(const TaskKey& key, std::int32_t run);
  /// Whether the leadership is confirmed, and the list of upstreams and the failure domains out of service are recent.
  bool MaySendStarts() const;
  void SendPostponedStarts();
  void OnStartReply(const TaskKey& key, std::int32_t run, std::uint64_t token, const OrderReply& reply);
  void MarkStarted(Job& job);
  void Unassign(Job& job, const TaskKey& key, TaskState& task, std::string_view reason);
  void StopTask(Job& job, const TaskKey& key, TaskState& task, std::string_view reason);
  void SendStop(const UpstreamState& upstream, const TaskKey& key, std::int32_t run);
  void StopAll(Job& job, std::string_view reason);
  void AbortGang(Job& job, const TaskKey& key, std::string_view reason);
  void StopUnconfirmedMembers(Job& job, const TaskKey& key);
  /// Invalidates all orders up to a fencing token, so that the next sync shows which of them took effect.
  void Fence(UpstreamState& upstream, std::uint64_t order_token);
  /// Sets the clock of an upstream. A clock that went back is that of a restarted upstream.
  void SetClock(UpstreamState& upstream, std::int64_t clock_ms);
  /// Records the ends of the leases of upstreams that do not reply, and withdraws those of upstreams that do.
  void RecordLeaseBounds();
  void WithdrawLeaseBound(UpstreamState& upstream);
  /// Adds the changed lease bounds to the next transaction.
  /// @return the upstreams whose recorded bounds it removes
  std::vector<UpstreamId> PutLeaseBounds(CommitBatch& batch);
  /// Decides whether the learned speeds are written with the next transaction.
  void RecordSpeeds();
  /// Adds the learned speeds to the next transaction if they are due.
  void PutSpeeds(CommitBatch& batch);
  /// Adds the changed rows of early cancels to the next transaction, as far as it has room.
  /// @return number of the last cancel that it contains
  std::uint64_t PutEarlyCancels(CommitBatch& batch);
  /// Extends the leases of an upstream.
  /// @return end of the leases in ms on the clock of the upstream, 0 if no lease may be granted
  std::int64_t GrantLease(UpstreamState& upstream);

  // scheduler_upstreams.cc
  UpstreamState* FindUpstream(const UpstreamId& id);
  /// Returns the upstream and adds it if it is unknown.
  UpstreamState& GetOrAddUpstream(const UpstreamId& id);
  bool IsUsable(const UpstreamState& upstream) const;
  void ResendDueStops(UpstreamState& upstream);
  void SyncDueUpstreams();
  void SyncIfDue(UpstreamState& upstream);
  /// Time between a reply of an upstream without runs and its next sync.
  Duration IdleSyncPause() const;
  void OnSyncReply(const UpstreamId& id, std::uint64_t number, const SyncReply& reply);
  void OnActiveRun(UpstreamState& upstream, const ActiveRun& row);
  void OnEndedRun(UpstreamState& upstream, const EndedRun& row);
  /// Learns the speed of an upstream from the progress of an active run, once for each run.
  void LearnFromProgress(Job& job, const TaskKey& key, TaskState& task, const UpstreamState& upstream,
                         std::int32_t percent);
  /// Learns the speed of an upstream from a completed run, unless its progress was counted.
  void LearnFromEnd(Job& job, const TaskKey& key, TaskState& task, const UpstreamState& upstream);
  /// @param observed_percents part of the run that took `elapsed`, in percent
  /// @param relative_error standard error of `elapsed`, as a share of it
  void Learn(Job& job, const TaskKey& key, const UpstreamState& upstream, Duration elapsed,
             std::int32_t observed_percents, double relative_error);
  void OnFailedRun(Job& job, const TaskKey& key, TaskState& task, UpstreamState& upstream);
  void AcknowledgeEnds(UpstreamState& upstream);
  /// Marks tasks as lost that a complete sync reply does not contain although it would if they ran.
  void MarkUnreportedTasksLost(UpstreamState& upstream, const std::set<TaskKey>& reported);
  void MarkAllTasksLost(UpstreamState& upstream, std::string_view reason);
  /// Marks the tasks as lost whose start was sent, after the lease of the upstream has lapsed.
  void MarkLapsedTasksLost(UpstreamState& upstream);
  void MarkTaskLost(const TaskKey& key, std::string_view reason);
  void StopStalledRuns(UpstreamState& upstream);
  /// Moves long-running tasks off draining upstreams a few at a time. Their leases would keep them from being restarted
  /// for seconds after the upstream has left.
  void LeaveDrainingUpstreams();
  bool MayMoveAnotherTask(const StepSpec& spec, const StepState& step);
  /// Whether an upstream that may run the step has free capacity for one task.
  bool HasCapacityFor(const Job& job, const StepSpec& spec) const;
  bool IsStalled(const StepSpec& spec, const TaskState& task) const;
  /// Whether a stalled member keeps its gang from completing, so that its upstream is the one to avoid.
  bool HoldsUpGang(const StepSpec& spec, const StepState& step, const TaskState& member) const;
  /// Keeps an upstream from getting tasks for a while.
  void Quarantine(UpstreamState& upstream, std::string_view reason);

  // scheduler_placement.cc
  void PlaceWaitingSteps();
  void ListUsableUpstreams();
  /// Lowest speed of upstreams on which the step is expected to be in time, 0 if any speed will do.
  double RequiredSpeed(const StepRef& ref) const;
  UpstreamOption MakeOption(const StepRef& ref, UpstreamState& upstream) const;
  static Urgency UrgencyOfLongRunning(const StepState& step);
  /// Urgency of a step by when its job can be complete on the fastest upstreams.
  Urgency UrgencyByTime(const Job& job, std::size_t step) const;
  /// Latest start of a step on the fastest upstreams at which its job is expected to meet its objective.
  Time LatestStart(const Job& job, std::size_t step) const;
  void PlaceStep(const StepRef& ref);
  /// Emits an event if nothing of the step has run for long.
  void ObserveWait(const StepRef& ref);
  WaitReason FindWaitReason(const StepRef& ref) const;
  bool PlaceGang(const StepRef& ref, const std::vector<UpstreamState*>& candidates);
  /// Gives all members the checkpoint of the most advanced one, as all members of a run must carry the same.
  static void ShareCheckpoint(StepState& step);
  void PlaceTasks(const StepRef& ref, const std::vector<UpstreamState*>& candidates);
  /// Usable upstreams that may run the step, with their free CPU at the start of the placement pass, in descending
  /// order.
  const std::vector<std::pair<std::int64_t, UpstreamState*>>& ListUpstreamsFor(const StepSpec& spec,
                                                                               const QueueConfig& queue);
  /// Upstreams on which tasks of the step may be placed. Some of them may have too little free capacity.
  std::vector<UpstreamState*> FindCandidates(const StepRef& ref);
  bool CanRunOn(const StepSpec& spec, const QueueConfig& queue, const UpstreamState& upstream) const;
  std::int64_t CountSlots(const StepRef& ref, const UpstreamState& upstream, const Resources& free_capacity) const;
  /// Updates `can_fit_later` of a waiting step, unless it was checked a short time ago.
  void CheckFit(const StepRef& ref);
  /// Whether the gang, or one task of another step, will fit on the usable upstreams once their other work has ended,
  /// except long-running tasks.
  bool CanFitLater(const StepRef& ref) const;
  /// Capacity that the limit of the organisation still allows it to allocate.
  Resources TeamFreeCapacity(const TeamId& team) const;

  // scheduler_reservations.cc
  /// Members of a waiting gang that are to run on one upstream.
  struct ReservedPlaces {
    UpstreamState* upstream = nullptr;
    std::int64_t members = 0;
    Resources demand;  ///< of all these members
  };

  bool MayReserveUpstreams(const StepRef& ref) const;
  void ReserveUpstreams(const StepRef& ref, const std::vector<UpstreamState*>& candidates);
  /// Chooses where the members of a gang are to run. Some of the places may be reserved for a gang before it.
  std::vector<ReservedPlaces> ChooseReservedPlaces(const StepRef& ref,
                                                   const std::vector<UpstreamState*>& candidates) const;
  /// Stops the backfilled tasks that keep a gang from starting, unless this was tried a short time ago.
  void VacateReservedPlaces(const StepRef& ref, const std::vector<ReservedPlaces>& places);
  /// Whether the tickets of the step, if it needs any, outlast the stops of backfilled tasks.
  bool HasTicketsFor(const StepRef& ref, const std::vector<ReservedPlaces>& places) const;
  /// Stops tasks that make way for the gang, those with the shortest runs first, until the demand fits.
  /// @return number of the stopped tasks
  int VacateUpstream(UpstreamState& upstream, const TaskKey& gang, const Resources& demand);
  /// Free capacity of the upstream without what a gang is about to use.
  Resources UnreservedCapacity(const UpstreamState& upstream) const;
  /// Whether other work waits for the gang to start. While less than half of the service is in use it does so only if
  /// the gang is about to start.
  bool HoldsBack(const CapacityReservation& reservation) const;
  /// Whether at least half of the CPU of the listed upstreams of the service is in use.
  bool IsServiceBusy(const ServiceId& service);
  /// Free capacity of a reserved upstream that the gang will not need.
  static Resources SpareCapacity(const UpstreamState& upstream);
  /// Free capacity of the upstream that tasks of the step may use at present.
  Resources UsableCapacity(const StepRef& ref, const UpstreamState& upstream) const;
  /// Capacity of the upstream for which a step may request a ticket: for a gang also what is vacated for it.
  Resources RequestableCapacity(const StepRef& ref, const UpstreamState& upstream) const;
  /// Whether tasks of the step may run in reserved capacity, beyond what the gang leaves.
  bool MayBackfill(const StepRef& ref, const UpstreamState& upstream, const CapacityReservation& reservation) const;
  /// Whether reserved capacity keeps all tasks of the step from being placed on the upstream.
  bool IsHeldBack(const StepRef& ref, const UpstreamState& upstream) const;
  /// Bounds the time for which reserved capacity keeps the step waiting.
  void BoundHoldingBack(StepState& step) const;
  /// First reservation that holds the step back, or nullptr.
  const CapacityReservation* FindHoldingReservation(const StepRef& ref) const;
  Duration ExpectedRunOn(const Job& job, std::size_t step, const UpstreamState& upstream) const;
  /// Expected ends of the tasks on the upstream that don't make way for the gang, with the capacity that they release,
  /// in ascending order. Time::max() if nothing is known about an end.
  std::vector<std::pair<Time, Resources>> ListExpectedEnds(const UpstreamState& upstream, const TaskKey& gang);
  /// When members of the gang with this demand are expected to fit on the upstream, Time::max() if unknown.
  Time ExpectedFit(const UpstreamState& upstream, const TaskKey& gang, const Resources& demand);
  /// Capacity of the upstream that neither the members nor the other tasks are expected to use at a time.
  Resources ExpectedSpare(const UpstreamState& upstream, const TaskKey& gang, const Resources& demand, Time at);
  /// When the gang is expected to fit on these upstreams, Time::max() if unknown.
  Time ExpectedStart(const TaskKey& gang, const std::vector<ReservedPlaces>& places);
  /// Emits an event about the reservation.
  void ReportReservation(const StepRef& ref, const std::vector<ReservedPlaces>& places, Time starts_at);

  // scheduler_policy.cc
  /// Requests tickets for waiting steps: first for those whose tasks could start at once, in the order of the placement
  /// pass; one in some calls goes to the one that has waited longest.
  void RequestTicketsFor(const std::vector<StepRef>& steps);
  /// Waiting steps of which nothing has run for long, the longest wait first.
  std::vector<const StepRef*> ListLongestWaiting(const std::vector<StepRef>& steps) const;
  /// Whether the step may make a call now, as none is open for it or the open one is overdue.
  bool MayCallPolicy(const StepState& step) const;
  bool IsPolicyCallOverdue(const StepState& step) const;
  /// @return whether a call was made
  bool RequestTickets(const StepRef& ref, PolicyCallDispatcher::Purpose purpose);
  /// Makes a call that names these upstreams.
  /// @return whether an instance was free
  bool CallPolicy(const StepRef& ref, PolicyCallDispatcher::Purpose purpose, std::vector<UpstreamId> upstreams);
  /// Whether tasks of the step could start at once if the policy allowed the upstreams it has not decided on.
  bool CouldStart(const StepRef& ref) const;
  /// Upstreams for which a step should request tickets: with free capacity first, none if its tickets are sufficient.
  std::vector<UpstreamId> ChooseUpstreamsToRequest(const StepRef& ref, const QueueConfig& queue);

  /// What a step may ask the policy service for.
  struct PolicyOffers {
    PolicyCallPlanner::Need need;
    std::vector<PolicyCallPlanner::Offer> offers;  ///< allowed ones first, then those with most free capacity
    std::vector<UpstreamId> upstreams;             ///< of the offers
  };
  /// RequestTicketsFor() by the plan of PolicyCallPlanner.
  void RequestPlannedTickets(const std::vector<StepRef>& steps);
  /// @param when_free whether to count free capacity, or all that the upstreams have
  /// @param free_share share of the free capacity that steps with a higher claim leave
  PolicyOffers CollectPolicyOffers(const StepRef& ref, bool when_free, double free_share) const;
  /// Makes a call for a step that can't start yet, unless enough is known about it.
  void PrefetchDecisions(const StepRef& ref);

  /// @param step_key key of the first task of the step
  /// @param request_sent_at when the call was made
  void OnPolicyReply(const TaskKey& step_key, const PolicyRequest& request, Time request_sent_at,
                     const PolicyReply& policy_reply);
  /// Records what the policy allows a step. Upstreams that the service may not have known are no denials.
  void ApplyDecisions(StepState& step, const QueueConfig& queue, const PolicyRequest& request,
                      const PolicyReply& policy_reply);

  Ports m_ports;
  const std::uint64_t m_epoch;
  const Time m_took_over_at;
  const std::function<void()> m_mark_dirty;
  const std::function<void()> m_on_fenced;
  Time m_now;
  LeadershipStatus m_leadership;
  std::shared_ptr<const CellConfig> m_config;
  std::map<QueueId, QueueConfig> m_known_queues;  ///< includes queues removed in this term
  FeedFreshness m_freshness;
  std::set<DomainId> m_domains_out_of_service;
  std::unordered_map<JobId, std::unique_ptr<Job>> m_jobs;
  std::map<JobId, Job*> m_active;    ///< jobs that have not ended
  std::map<JobId, Job*> m_unopened;  ///< active jobs with occurrences that are not due yet
  std::deque<JobId> m_commit_queue;
  RecordLog m_log;
  std::deque<std::pair<Time, JobId>> m_ended;  ///< ended jobs by the time at which they are dropped
  std::map<UpstreamId, UpstreamState> m_upstreams;
  std::map<TeamId, Resources> m_team_usage;
  RefusedCalls m_refused_calls;
  EarlyCancels m_early_cancels;
  PolicyCallDispatcher m_policy_calls;
  PolicyCallPlanner m_policy_planner;
  AdmissionController m_admission;
  UpstreamSpeeds m_speeds;
  RunTimeModel m_run_times;    ///< by queue
  double m_max_speed = 1;      ///< of the usable upstreams
  WaitingWork m_waiting_work;  ///< as of the last placement pass, with the jobs accepted since
  std::size_t m_policy_callers = 0;
  std::int64_t m_outage_refusals = 0;
  std::map<ServiceId, double> m_usable_cores;  ///< as of m_usable_cores_at
  Time m_usable_cores_at{};
  /// Usable upstreams with their free CPU at the start of the placement pass, in descending order.
  std::vector<std::pair<std::int64_t, UpstreamState*>> m_by_free_cpu;
  /// Those of m_by_free_cpu that run steps with this service and required label, within one placement pass.
  std::map<std::pair<ServiceId, std::string>, std::vector<std::pair<std::int64_t, UpstreamState*>>> m_by_requirement;
  mutable std::uint64_t m_placement_checks = 0;
  std::uint64_t m_step_placements = 0;
  std::map<ServiceId, bool> m_busy_services;  ///< whether at least half of it is in use, within one placement pass
  int m_reserving_gangs = 0;                  ///< within one placement pass
  std::vector<StepRef> m_ticket_seekers;      ///< waiting steps of queues with a policy, within one placement pass
  int m_calls_since_longest_waiting = 0;      ///< policy calls since the last one for the step that has waited longest
  std::uint64_t m_token_counter = 0;
  std::size_t m_open_immediate_syncs = 0;
  bool m_is_retired = false;
  bool m_needs_placement = true;
  std::vector<std::pair<TaskKey, std::int32_t>> m_postponed_starts;  ///< until the leadership is confirmed
  Duration m_longest_wait{};
  std::size_t m_waiting_steps = 0;
  Time m_order_timed_out_at{};  ///< when an order or sync last got no reply
  Time m_next_placement{};
  Time m_earliest_placement{};  ///< of the next pass, even if something has changed
  Time m_next_drain_check{};
  Time m_next_lease_check{};
  bool m_are_lease_bounds_changed = false;
  Time m_next_speeds_write{};
  bool m_are_speeds_due = false;
};

}  // namespace jaymast
