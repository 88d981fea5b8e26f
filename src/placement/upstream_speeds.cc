#include "placement/upstream_speeds.h"

namespace jaymast {

double UpstreamSpeeds::SpeedOf(const UpstreamId& /*upstream*/) const { return 1; }

}  // namespace jaymast
