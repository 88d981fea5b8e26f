#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "base/id.h"
#include "base/time.h"
#include "core/entry_settings.h"
#include "core/peer_message.h"
#include "core/request.h"
#include "model/instance_list.h"

namespace jaymast {

class Effects;
class EntryNode;

/// Runs the decision core of one entry: a deterministic state machine driven by messages and time.
///
/// All calls come from the control thread. An entry that loses its lease restarts under a new id.
class EntryCore {
 public:
  EntryCore(EntrySettings settings, Effects& effects);
  ~EntryCore();
  EntryCore(const EntryCore&) = delete;
  EntryCore& operator=(const EntryCore&) = delete;

  /// Starts joining the cluster.
  void Start();

  void OnRequest(RequestId id, const Request& request);

  /// The caller closed its connection; its request needs no response.
  void OnRequestGone(RequestId id);

  void OnPeer(const EntryId& from, const PeerMessage& message);
  void OnInstances(const InstanceList& list);

  /// Runs due timers. Call it at NextDeadline() or earlier.
  void OnTick();

  /// Starts a graceful shutdown, which is complete when IsStopped() returns true.
  void OnStopRequested();

  /// Earliest time at which OnTick() is due, or nothing when no timer is set.
  std::optional<Time> NextDeadline() const;

  const EntryId& id() const;

  /// Whether this entry serves and has a configuration.
  bool IsReady() const;
  bool IsStopped() const;

 private:
  /// Replaces the node by one with a new id. Must not run inside a callback of the node that is replaced.
  void RestartIfDue();

  EntrySettings m_settings;
  Effects& m_effects;
  std::unique_ptr<EntryNode> m_node;
  std::optional<InstanceList> m_instances;
  bool m_restart_due = false;
};

}  // namespace jaymast
