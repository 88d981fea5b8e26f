#include "instance/load_monitor.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <numeric>

#include "cell/cell_event_sink.h"

namespace jaymast {
namespace {

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

void LoadMonitor::AddWork(WorkKind kind, Time began_at, Time ended_at) {
  m_busy.at(static_cast<std::size_t>(kind)) += std::max(Duration::zero(), ended_at - began_at);
}

void LoadMonitor::OnTick(Time due_at, Time now) {
  ++m_window.ticks;
  m_window.tick_delay = std::max(m_window.tick_delay, now - due_at);
  if (now - m_window_began_at >= kWindow) EndWindow(now);
}

void LoadMonitor::OnRelayedCall(Time sent_at, Time now, bool is_expired) {
  ++m_relayed_calls;
  ++m_window.relayed_calls;
  m_window.relay_delay = std::max(m_window.relay_delay, now - sent_at);
  if (!is_expired) return;
  ++m_expired_calls;
  ++m_window.expired_calls;
}

void LoadMonitor::EndWindow(Time now) {
  const double elapsed_s = Seconds(now - m_window_began_at);
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    m_window.busy_shares.at(kind) = Seconds(m_busy.at(kind)) / elapsed_s;
  }
  m_last = m_window;
  m_window = {};
  m_busy = {};
  m_window_began_at = now;
  const double busy_share = std::accumulate(m_last.busy_shares.begin(), m_last.busy_shares.end(), 0.0);
  const bool is_high = busy_share > kMaxBusyShare || m_last.tick_delay > kMaxDelay || m_last.relay_delay > kMaxDelay ||
                       m_last.expired_calls > 0;
  if (!is_high) return;
  const auto share = [this](WorkKind kind) {
    return fmt::format("{:.3f}", m_last.busy_shares.at(static_cast<std::size_t>(kind)));
  };
  m_events.Emit("load.high", {{"busy_share", fmt::format("{:.3f}", busy_share)},
                              {"client_calls", share(WorkKind::kClientCalls)},
                              {"peer_messages", share(WorkKind::kPeerMessages)},
                              {"peer_replies", share(WorkKind::kPeerReplies)},
                              {"ticks", share(WorkKind::kTicks)},
                              {"tick_count", std::to_string(m_last.ticks)},
                              {"tick_delay_ms", std::to_string(ToMillis(m_last.tick_delay))},
                              {"relay_delay_ms", std::to_string(ToMillis(m_last.relay_delay))},
                              {"relayed_calls", std::to_string(m_last.relayed_calls)},
                              {"expired_calls", std::to_string(m_last.expired_calls)}});
}

std::map<std::string, double> LoadMonitor::Gauges() const {
  std::map<std::string, double> gauges = {
      {"jaymast_tick_delay_seconds", Seconds(m_last.tick_delay)},
      {"jaymast_relay_delay_seconds", Seconds(m_last.relay_delay)},
      {"jaymast_relayed_calls", static_cast<double>(m_relayed_calls)},
      {"jaymast_expired_calls", static_cast<double>(m_expired_calls)},
  };
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    const std::string name(ToString(static_cast<WorkKind>(kind)));
    gauges["jaymast_busy_share_" + name] = m_last.busy_shares.at(kind);
  }
  return gauges;
}

}  // namespace jaymast
