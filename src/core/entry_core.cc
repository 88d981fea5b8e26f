#include "core/entry_core.h"

#include <utility>

#include "core/effects.h"
#include "core/entry_node.h"

namespace jaymast {

EntryCore::EntryCore(EntrySettings settings, Effects& effects) : m_settings(std::move(settings)), m_effects(effects) {
  m_node = std::make_unique<EntryNode>(m_settings, m_effects, [this] { m_restart_due = true; });
}

EntryCore::~EntryCore() = default;

void EntryCore::Start() { m_node->Start(); }

void EntryCore::OnRequest(RequestId id, const Request& request) {
  RestartIfDue();
  m_node->OnRequest(id, request);
}

void EntryCore::OnRequestGone(RequestId id) { m_node->OnRequestGone(id); }

void EntryCore::OnPeer(const EntryId& from, const PeerMessage& message) {
  RestartIfDue();
  m_node->OnPeer(from, message);
}

void EntryCore::OnInstances(const InstanceList& list) {
  RestartIfDue();
  m_instances = list;
  m_node->OnInstances(list);
}

void EntryCore::OnTick() {
  RestartIfDue();
  m_node->OnTick();
  RestartIfDue();
}

void EntryCore::OnStopRequested() { m_node->OnStopRequested(); }

std::optional<Time> EntryCore::NextDeadline() const {
  if (m_restart_due) return Time();
  return m_node->NextDeadline();
}

void EntryCore::RestartIfDue() {
  if (!std::exchange(m_restart_due, false)) return;
  m_node->AbandonAll();
  m_node = std::make_unique<EntryNode>(m_settings, m_effects, [this] { m_restart_due = true; });
  m_node->Start();
  if (m_instances) m_node->OnInstances(*m_instances);
}

const EntryId& EntryCore::id() const { return m_node->id(); }

bool EntryCore::IsReady() const { return m_node->IsReady(); }

bool EntryCore::IsStopped() const { return m_node->IsStopped(); }

}  // namespace jaymast
