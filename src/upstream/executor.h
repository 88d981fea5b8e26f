#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "core/context.h"
#include "core/peer_message.h"
#include "ownership/ownership.h"
#include "placement/admission_queue.h"
#include "placement/estimator.h"
#include "placement/failure_attribution.h"
#include "placement/fair_share.h"
#include "placement/placer.h"
#include "upstream/owned_task.h"
#include "upstream/owned_upstream.h"

namespace jaymast {

class Allotments;
class ConfigStore;
class Membership;

/// Places, starts and monitors tasks on the upstreams that this entry owns.
class Executor {
 public:
  using RunDone = std::function<void(const RunReply&)>;

  struct Hooks {
    std::function<void(const EntryId&, const PeerMessage&)> send;            ///< to a peer or to this entry
    std::function<void(const UpstreamId&, const FencingToken&)> on_refused;  ///< with the token the runner accepts
    std::function<void(const UpstreamId&)> on_unreachable;                   ///< no reply for longer than a task lease
  };

  Executor(Context& context, const ConfigStore& config, const Membership& membership, Allotments& allotments,
           Hooks hooks);

  void Start();

  /// Places and runs a preview, which needs no claim. `done` runs once.
  void Run(const RunRequest& request, const EntryId& from, RunDone done);

  void OnHoldRequest(const EntryId& from, const HoldRequest& request);
  void OnReleaseHold(const ReleaseHold& release);
  void OnStartOrder(const EntryId& from, const StartOrder& order);
  void OnProbe(const EntryId& from, const TaskProbe& probe);
  void OnStopOrder(const StopOrder& order);
  void OnResultAck(const TaskResultAck& ack);

  void OnAcquired(const AcquiredUpstream& acquired);
  void OnOwnershipLost(const UpstreamId& id);

  /// The owner row of an acquired upstream was committed.
  void OnCommitted(const UpstreamId& id);

  /// The leases of all tasks on the upstream have expired for certain.
  void OnLeasesExpired(const UpstreamId& id);
  void PrepareAllotmentTransfer(const UpstreamId& id, const EntryId& from,
                                const std::function<void(AllotmentTransfer)>& done);

  void OnInstances(const InstanceList& list);

  /// Applies a new configuration: teams, policies, and failure domains and upstreams out of service.
  void OnConfig();

  /// Places waiting tasks on free capacity.
  void Dispatch();

  /// Whether at least one owned upstream accepts new tasks.
  bool HasUsableUpstream() const;

  /// Refuses all tasks that wait for capacity, so that other owners can run them.
  void RefuseAllWaiting();

  /// Number of run requests that a runner has not replied to.
  std::size_t OpenRuns() const { return m_open_runs; }

  /// Number of tasks that are starting, running or unresolved.
  std::size_t RunningCount() const;

  Summary MakeSummary() const;
  const std::map<UpstreamId, OwnedUpstream>& upstreams() const { return m_upstreams; }
  const std::map<AttemptId, OwnedTask>& tasks() const { return m_tasks; }
  const Placer& placer() const { return m_placer; }
  const FairShare& fair_share() const { return m_fair_share; }
  const Estimator& estimator() const { return m_estimator; }
  std::size_t waiting() const { return m_queue.size(); }

 private:
  struct WaitingRun {
    RunRequest request;
    EntryId from;
    Time deadline;
    RunDone done;
  };

  // Placing and starting.
  OfferOutcome Place(const WaitingTask& waiting);
  void ReserveForBlocked(const OfferReport& report);
  void LimitReturningDomain();
  bool IsEligible(const OwnedUpstream& upstream) const;
  bool IsOutOfService(const UpstreamInfo& info) const;
  void UpdateEligibility();
  void UpdateEligibility(const UpstreamId& id);
  OwnedTask& Hold(const WaitingTask& waiting, const UpstreamId& upstream);
  void StartRun(const AttemptId& id, WaitingRun run);
  void OnRunTaskReply(const AttemptId& id, const WaitingRun& run, const UpstreamReply& reply);
  void CallStart(const AttemptId& id, OwnedTask& task, const StartOrder& order);
  void OnStartTaskReply(const AttemptId& id, const EntryId& home, const UpstreamReply& reply);
  void RefuseWaiting(const WaitingTask& waiting);
  /// Runs periodically: expires waiting tasks and holds, sends results again, ends ejections, and dispatches.
  void Sweep();
  void ExpireHolds();
  void SetPhase(OwnedTask& task, OwnedTaskPhase phase);
  std::int64_t RunnerNow(const OwnedUpstream& upstream) const;
  void EmitStart(EventKind kind, const AttemptId& id, const OwnedTask& task, const std::string& verdict);

  // Reports and results.
  void RenewDue();
  Time NextRenewal(const OwnedUpstream& upstream) const;
  void Renew(const UpstreamId& id, OwnedUpstream& upstream);
  RenewRequest MakeRenewRequest(const OwnedUpstream& upstream) const;
  void OnRenewed(const UpstreamId& id, std::int64_t epoch, Time sent_at, const RenewRequest& request,
                 const UpstreamReply& reply);
  void OnRenewFailed(const UpstreamId& id, OwnedUpstream& upstream);
  void ApplyReport(const UpstreamId& id, OwnedUpstream& upstream, Time sent_at, const UpstreamReply& reply);
  void ApplyRunnerTask(const UpstreamId& id, OwnedUpstream& upstream, const RunnerTask& report);
  void AddReported(const UpstreamId& id, OwnedUpstream& upstream, const RunnerTask& report);
  void ResolveUnreported(const AttemptId& id, OwnedTask& task, Time sent_at, std::int64_t runner_now_ms);
  void End(const AttemptId& id, Outcome outcome, const std::string& output, std::int64_t run_ms, bool is_from_runner);
  void ReleaseCapacity(const OwnedTask& task);
  void Erase(const AttemptId& id);
  void SendResult(OwnedTask& task);
  void ResendResults();
  void RequestStop(const AttemptId& id, OwnedTask& task, StopMode mode);
  void CallStop(const AttemptId& id, const OwnedTask& task);
  void EvacuateOutOfService();
  void CheckOverruns();
  void RecordHealth(const UpstreamId& id, bool success);

  Context& m_context;
  const ConfigStore& m_config;
  const Membership& m_membership;
  Allotments& m_allotments;
  Hooks m_hooks;
  Placer m_placer;
  FairShare m_fair_share;
  Estimator m_estimator;
  AdmissionQueue m_queue;
  FailureAttribution m_attribution;
  bool m_domain_was_out_of_service = false;  ///< the own failure domain was out of service in the last configuration
  std::optional<AttemptId> m_reserved;       ///< waiting task that has a reserved start
  TaskSpec m_reserved_spec;
  std::map<UpstreamId, OwnedUpstream> m_upstreams;
  std::map<AttemptId, OwnedTask> m_tasks;
  std::map<AttemptId, WaitingRun> m_waiting_runs;
  /// Attempts that were started on an upstream which this entry no longer owns, with the time until which they are
  /// kept. A repeated start order for one of them must not be reported as not started.
  std::map<AttemptId, Time> m_former_attempts;
  std::size_t m_open_runs = 0;
  bool m_dispatching = false;
};

}  // namespace jaymast
