#pragma once

#include "base/id.h"

namespace jaymast {

/// Estimates how fast upstreams run tasks compared with the mean upstream, from tasks of the same step.
class UpstreamSpeeds {
 public:
  /// Speed relative to the mean upstream: a task of 1 s takes 0.5 s at speed 2. 1 if nothing is known.
  double SpeedOf(const UpstreamId& upstream) const;
};

}  // namespace jaymast
