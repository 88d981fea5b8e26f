#pragma once

#include <string>
#include <vector>

#include "core/event.h"

namespace jaymast {

/// Names of the facts that an event establishes, for example that an attempt was claimed.
std::vector<std::string> FactsEstablishedBy(const Event& event);

/// Names of the facts that were established before the event.
///
/// A chain is claim, start order, start at the runner, end at the runner, end of the task. The end of a task depends on
/// the end at the runner only with verdict "ran", because other verdicts are given without a report of the runner.
std::vector<std::string> FactsRequiredBy(const Event& event);

}  // namespace jaymast
