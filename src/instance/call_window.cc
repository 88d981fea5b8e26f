#include "instance/call_window.h"

#include <algorithm>

namespace jaymast {

void CallWindow::OnSent(Time now) {
  ++m_open_calls;
  if (!HasRoom()) m_full_at = now;
}

void CallWindow::OnEnded(Time sent_at, std::optional<Duration> delay, Time now) {
  const std::size_t open_calls = m_open_calls;
  if (m_open_calls > 0) --m_open_calls;
  if (!delay) {
    // A call without an answer while others are handled at once waits for the store.
    if (m_last_prompt_at < sent_at) Decrease(sent_at, open_calls, kMaxDelay, now);
    return;
  }
  m_least_delay = std::min(m_least_delay, *delay);
  const Duration waited = *delay - m_least_delay;
  if (waited > kMaxDelay) return Decrease(sent_at, open_calls, waited, now);
  m_last_prompt_at = now;
  // A window that was never full tells nothing of what the leader can take.
  if (m_full_at >= sent_at) m_limit = std::min(kMaxLimit, m_limit + std::max(1 / m_limit, kGrowth));
}

void CallWindow::Decrease(Time sent_at, std::size_t open_calls, Duration waited, Time now) {
  // Calls that were sent before the last decrease tell nothing of its effect.
  if (sent_at < m_decreased_at) return;
  m_decreased_at = now;
  const double wanted = static_cast<double>(kMaxDelay.count()) / static_cast<double>(waited.count());
  const double factor = std::clamp(wanted, kMaxDecrease, kMinDecrease);
  m_limit = std::max(kMinLimit, std::min(m_limit, static_cast<double>(open_calls)) * factor);
}

}  // namespace jaymast
