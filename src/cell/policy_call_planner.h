#pragma once

#include "base/time.h"

namespace jaymast {

/// Decides which waiting step gets the next call to the policy service, and which upstreams the call names.
class PolicyCallPlanner {
 public:
  /// How long a new step would wait for a call that takes `call_ms`.
  Duration ExpectedWait(double call_ms) const;
};

}  // namespace jaymast
