#include "cell/store_contact.h"

#include <utility>

namespace jaymast {

void StoreContact::OnCallSent(Time now) {
  ++m_open_calls;
  if (std::exchange(m_is_waiting, true)) return;
  m_silent_since = now;
}

void StoreContact::OnCallEnded(bool is_answered) {
  --m_open_calls;
  if (m_open_calls == 0 && is_answered) m_is_waiting = false;
}

void StoreContact::OnReceived(Time at) {
  if (at <= m_silent_since) return;
  if (IsSilent(at)) ++m_ended_silences;
  m_silent_since = at;
}

}  // namespace jaymast
