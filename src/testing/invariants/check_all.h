#pragma once

#include <vector>

#include "core/event.h"
#include "testing/invariants/facts.h"
#include "testing/invariants/violation.h"

namespace jaymast {

/// Runs the checkers of all guarantees over an event log. Returns the violations in the order of the guarantees.
std::vector<Violation> CheckAllInvariants(const Facts& facts, const std::vector<Event>& events);

}  // namespace jaymast
