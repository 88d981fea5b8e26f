#include "instance/call_window.h"

#include <algorithm>

namespace jaymast {

void CallWindow::OnSent(Time now) {
  ++m_open_calls;
  if (!HasRoom()) m_full_at = now;
}

void CallWindow::OnEnded(Time sent_at, std::optional<Duration> delay, Time now) {
  if (m_open_calls > 0) --m_open_calls;
  if (delay && *delay <= kMaxDelay) {
    m_last_prompt_at = now;
    // A window that was never full tells nothing of what the leader can take.
    if (m_full_at >= sent_at) m_limit = std::min(kMaxLimit, m_limit + 1 / m_limit);
    return;
  }
  // A call without an answer while others are handled at once waits for the store.
  if (!delay && m_last_prompt_at >= sent_at) return;
  Decrease(sent_at, now);
}

void CallWindow::Decrease(Time sent_at, Time now) {
  // Calls that were sent before the last decrease tell nothing of its effect.
  if (sent_at < m_decreased_at) return;
  m_decreased_at = now;
  m_limit = std::max(kMinLimit, m_limit * kDecrease);
}

}  // namespace jaymast
