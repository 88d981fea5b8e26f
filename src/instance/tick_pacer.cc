#include "instance/tick_pacer.h"

#include <algorithm>

namespace jaymast {

void TickPacer::OnTick(Time began_at, Time ended_at) {
  m_paused_until = ended_at + std::clamp((ended_at - began_at) * kPauseFactor, Duration::zero(), kMaxPause);
}

Time TickPacer::NextTickAt(Time now) const { return std::max(now + kEventDelay, m_paused_until); }

}  // namespace jaymast
