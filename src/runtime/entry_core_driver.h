#pragma once

#include <utility>

#include "core/entry_core.h"
#include "runtime/core_driver.h"

namespace jaymast {

/// Forwards the calls of the process to the decision core of an entry.
class EntryCoreDriver final : public CoreDriver {
 public:
  EntryCoreDriver(EntrySettings settings, Effects& effects) : m_core(std::move(settings), effects) {}

  void Start() override { m_core.Start(); }
  void OnRequest(RequestId id, const Request& request) override { m_core.OnRequest(id, request); }
  void OnRequestGone(RequestId id) override { m_core.OnRequestGone(id); }
  void OnPeer(const EntryId& from, const PeerMessage& message) override { m_core.OnPeer(from, message); }
  void OnInstances(const InstanceList& list) override { m_core.OnInstances(list); }
  void OnTick() override { m_core.OnTick(); }
  void OnStopRequested() override { m_core.OnStopRequested(); }
  std::optional<Time> NextDeadline() const override { return m_core.NextDeadline(); }
  EntryId id() const override { return m_core.id(); }
  bool IsReady() const override { return m_core.IsReady(); }
  bool IsStopped() const override { return m_core.IsStopped(); }

 private:
  EntryCore m_core;
};

}  // namespace jaymast
