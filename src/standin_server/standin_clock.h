#pragma once

#include "runtime/process_clock.h"

namespace jaymast {

/// The clock of all fakes of the process.
inline const ProcessClock& StandinClock() {
  static const ProcessClock clock;
  return clock;
}

}  // namespace jaymast
