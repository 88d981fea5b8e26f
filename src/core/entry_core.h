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

/// Decision core of one entry: a pure state machine driven by messages and time.
///
/// All calls come from the control thread. When the entry loses its lease it starts over with a new id.
class EntryCore {
 public:
  EntryCore(EntrySettings settings, Effects& effects);
  ~EntryCore();
  EntryCore(const EntryCore&) = delete;
  EntryCore& operator=(const EntryCore&) = delete;

  /// Begins to join the cluster.
  void Start();

  void OnRequest(RequestId id, const Request& request);

  /// The caller closed its connection; its request needs no answer.
  void OnRequestGone(RequestId id);

  void OnPeer(const EntryId& from, const PeerMessage& message);
  void OnInstances(const InstanceList& list);

  /// Runs due timers. Call it at NextDeadline(), or more often.
  void OnTick();

  /// Begins a graceful shutdown. IsStopped() tells when it is complete.
  void OnStopRequested();

  /// Earliest time at which OnTick() has something to do.
  std::optional<Time> NextDeadline() const;

  const EntryId& id() const;
  bool IsReady() const;
  bool IsStopped() const;

 private:
  /// Starts over under a new id. Not done inside a callback of the node that is replaced.
  void RestartIfDue();

  EntrySettings m_settings;
  Effects& m_effects;
  std::unique_ptr<EntryNode> m_node;
  std::optional<InstanceList> m_instances;
  bool m_restart_due = false;
};

}  // namespace jaymast
