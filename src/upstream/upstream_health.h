#pragma once

#include <cstdint>
#include <memory>

#include "base/time.h"

namespace jaymast {

/// Circuit breaker of one upstream: ejects it after consecutive failures, admits one task after an ejection time that
/// doubles up to a maximum, and restores it when that task succeeds.
///
/// A failure is a run or start request that failed. FailureAttribution evaluates the results of tasks.
class UpstreamHealth {
 public:
  UpstreamHealth();
  ~UpstreamHealth();
  UpstreamHealth(UpstreamHealth&&) noexcept;
  UpstreamHealth& operator=(UpstreamHealth&&) noexcept;

  void OnSuccess();
  void OnFailure(Time now);

  /// Moves an ejected upstream to probing once its ejection time is over.
  void OnTick(Time now);

  /// Whether a new task may be placed while `running` tasks are on the upstream.
  bool MayPlace(std::int64_t running) const;

  bool IsEjected() const;

 private:
  class Machine;
  std::unique_ptr<Machine> m_machine;
};

}  // namespace jaymast
