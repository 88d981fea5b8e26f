#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "configuration/config_store.h"
#include "configuration/plan_service.h"
#include "core/context.h"
#include "core/entry_settings.h"
#include "core/guarded_effects.h"
#include "core/peer_message.h"
#include "core/request.h"
#include "core/table_client.h"
#include "core/timers.h"
#include "limits/allotments.h"
#include "membership/membership.h"
#include "model/instance_list.h"
#include "ownership/ownership.h"
#include "routing/preview_gateway.h"
#include "routing/router.h"
#include "tasks/task_manager.h"
#include "upstream/executor.h"

namespace jaymast {

/// Owns and connects all components of one incarnation of an entry, from joining to leaving.
class EntryNode {
 public:
  /// @param on_lease_lost called when the lease of this id is lost and the id must not be used any more
  EntryNode(const EntrySettings& settings, Effects& effects, std::function<void()> on_lease_lost);

  void Start();
  void OnRequest(RequestId id, const Request& request);
  void OnRequestGone(RequestId id);
  void OnPeer(const EntryId& from, const PeerMessage& message);
  void OnInstances(const InstanceList& list);
  void OnTick();
  void OnStopRequested();

  /// Responds to all open requests with an error, before this node is destroyed.
  void AbandonAll();

  std::optional<Time> NextDeadline() const { return m_timers.NextDeadline(); }
  const EntryId& id() const { return m_context.self; }
  bool IsReady() const;
  bool IsStopped() const { return m_membership.state() == EntryState::kStopped; }

  // Read access for views.
  const EntrySettings& settings() const { return m_context.settings; }
  const Membership& membership() const { return m_membership; }
  const ConfigStore& config() const { return m_config; }
  const Ownership& ownership() const { return m_ownership; }
  const Allotments& allotments() const { return m_allotments; }
  const Executor& executor() const { return m_executor; }
  const TaskManager& tasks() const { return m_tasks; }
  const InstanceList& instances() const { return m_instances; }
  const TableClient& table() const { return m_table; }

 private:
  friend struct RequestVisitor;
  friend struct PeerVisitor;

  static EntryId MakeId(const EntrySettings& settings, Effects& effects);
  Membership::Hooks MembershipHooks(std::function<void()> on_lease_lost);
  Ownership::Hooks OwnershipHooks();
  Executor::Hooks ExecutorHooks();
  PlanService::Hooks PlanServiceHooks();

  void PollTable();
  void ReadTable();
  void OnTableRead(bool is_full, bool reads_owners, const ReadReply& reply);
  void OnConfigMissing();
  void OnConfigInstalled();
  void OnStateChange(EntryState state);
  void AdvanceLifecycle();

  /// Whether this entry owns a usable upstream or receives heartbeats of a serving peer. An entry that reports itself
  /// ready before that would reject previews although peers have free capacity.
  bool CanPlacePreviews() const;
  void AdvanceDrain();
  void ReclaimAllotments(const std::set<EntryId>& absent_before_read);
  void SendSummaries();
  void SendSummary();
  void OnSummary(const EntryId& from, const Summary& summary);
  void Send(const EntryId& to, const PeerMessage& message);
  void BroadcastConfig(const ClusterConfig& config);
  PlannerFacts Facts() const;

  // Requests.
  std::optional<Principal> Authenticate(RequestId id, const std::string& secret, Role role);
  std::optional<Error> AdmitSpec(const Principal& principal, TaskSpec& spec) const;
  void Reject(RequestId id, int status, Error error);
  void ScheduleOperatorTimeout(RequestId id);
  void Serve(RequestId id, const PreviewRequest& request);
  void Serve(RequestId id, const SubmitRequest& request);
  void Serve(RequestId id, const TaskStatusRequest& request);
  void Serve(RequestId id, const CancelRequest& request);
  void Serve(RequestId id, const PlanRequest& request);
  void Serve(RequestId id, const ConfirmRequest& request);
  void Serve(RequestId id, const ViewRequest& request);
  bool IsServing() const;

  bool m_started = false;  // Declared first: components report their first state while they are constructed.
  GuardedEffects m_effects;
  Timers m_timers;
  Context m_context;
  TableClient m_table;
  ConfigStore m_config;
  Membership m_membership;
  Allotments m_allotments;
  Executor m_executor;
  Ownership m_ownership;
  Router m_router;
  PreviewGateway m_previews;
  TaskManager m_tasks;
  PlanService m_plan_service;
  InstanceList m_instances;
  std::map<EntryId, Time> m_reclaim_at;  ///< when to reclaim the allotments of holders without a lease record
  Time m_next_full_read;
  Time m_next_owner_read;
  Time m_recover_deadline;
  Time m_drain_deadline;
  std::uint64_t m_next_preview = 1;
  bool m_is_read_pending = false;
};

}  // namespace jaymast
