#include "instance/peer_clock.h"

#include <algorithm>

namespace jaymast {

void PeerClock::OnMessage(Time sent_at, Time received_at) {
  const Duration difference = received_at - sent_at;
  if (received_at - m_window_began_at >= kWindow) {
    m_least_previous = m_least;
    m_least.reset();
    m_window_began_at = received_at;
  }
  m_least = std::min(m_least.value_or(difference), difference);
}

std::optional<Time> PeerClock::ToPeer(Time own) const {
  if (!m_least) return std::nullopt;
  return own - std::min(*m_least, m_least_previous.value_or(*m_least));
}

}  // namespace jaymast
