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

/// All slices of one entry from joining to leaving, under one entry id.
class EntryNode {
 public:
  /// @param on_lease_lost called when this id must not be used any more
  EntryNode(const EntrySettings& settings, Effects& effects, std::function<void()> on_lease_lost);

  void Start();
  void OnRequest(RequestId id, const Request& request);
  void OnRequestGone(RequestId id);
  void OnPeer(const EntryId& from, const PeerMessage& message);
  void OnInstances(const InstanceList& list);
  void OnTick();
  void OnStopRequested();

  /// Answers all open requests before this node is destroyed.
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
  PlanService::Hooks OperationsHooks();

  void Sync();
  void ReadTable();
  void OnSynced(bool is_full, bool has_owners, const ReadReply& reply);
  void OnConfigMissing();
  void OnConfigInstalled();
  void OnState(EntryState state);
  void Advance();

  /// Whether a preview could be placed: this entry owns a usable upstream, or a serving peer is heard. An entry that
  /// reports itself ready before that would refuse previews although others have room.
  bool HasRoute() const;
  void AdvanceDrain();
  void ReclaimAllotments(const std::set<EntryId>& absent_before_read);
  void SendSummaries();
  void SendSummary();
  void OnSummary(const EntryId& from, const Summary& summary);
  void Send(const EntryId& to, const PeerMessage& message);
  void Push(const ClusterConfig& config);
  PlannerFacts Facts() const;

  // Requests.
  std::optional<Principal> Authenticate(RequestId id, const std::string& secret, Role role);
  std::optional<Error> AdmitSpec(const Principal& principal, TaskSpec& spec) const;
  void Refuse(RequestId id, int status, Error error);
  void AnswerLate(RequestId id);
  void Serve(RequestId id, const PreviewRequest& request);
  void Serve(RequestId id, const SubmitRequest& request);
  void Serve(RequestId id, const TaskStatusRequest& request);
  void Serve(RequestId id, const CancelRequest& request);
  void Serve(RequestId id, const PlanRequest& request);
  void Serve(RequestId id, const ConfirmRequest& request);
  void Serve(RequestId id, const ViewRequest& request);
  bool IsServing() const;

  bool m_started = false;  // Before the slices, which report their first state while they are constructed.
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
  PlanService m_operations;
  InstanceList m_instances;
  std::map<EntryId, Time> m_absent;  ///< holders of allotments without a lease record, and when to reclaim them
  Time m_next_full_read;
  Time m_next_owner_read;
  Time m_recover_until;
  Time m_drain_until;
  std::uint64_t m_next_preview = 1;
  bool m_syncing = false;
};

}  // namespace jaymast
