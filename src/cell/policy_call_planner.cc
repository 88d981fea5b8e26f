#include "cell/policy_call_planner.h"

namespace jaymast {

Duration PolicyCallPlanner::ExpectedWait(double /*call_ms*/) const { return Duration::zero(); }

}  // namespace jaymast
