#pragma once

#include <cstdint>
#include <memory>

#include "base/time.h"

namespace jaymast {

/// Passive health of one upstream: ejects it after consecutive failures, lets one task through after a growing pause,
/// and restores it when that task succeeds.
class UpstreamHealth {
 public:
  UpstreamHealth();
  ~UpstreamHealth();
  UpstreamHealth(UpstreamHealth&&) noexcept;
  UpstreamHealth& operator=(UpstreamHealth&&) noexcept;

  void OnSuccess();
  void OnFailure(Time now);

  /// Moves an ejected upstream to probing once its pause is over.
  void OnTick(Time now);

  /// Whether a new task may be placed, with `running` tasks on the upstream at the moment.
  bool MayPlace(std::int64_t running) const;

  bool IsEjected() const;

 private:
  class Machine;
  std::unique_ptr<Machine> m_machine;
};

}  // namespace jaymast
