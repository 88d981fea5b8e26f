#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "testing/invariants/facts.h"
#include "testing/invariants/violation.h"
#include "timeline/timeline_event.h"

namespace jaymast {

/// What a check knows in addition to the event logs.
struct LogFacts {
  Facts facts;
  std::set<std::string> crashed;  ///< processes that were killed, whose last requests got no answer
};

/// Decodes a JSON object with the optional arrays `upstreams`, `tasks`, `configs` (JSON of the model) and `crashed`
/// (names of processes).
/// @return the facts, or an error with the path of the offending field
Result<LogFacts> LogFactsFromJson(std::string_view text, const std::string& file);

/// Runs the checkers of all guarantees over a merged time line.
///
/// Request numbers are unique within one process only, so they are renumbered first. What callers received is not in
/// the logs, so the checks that compare it with the outputs are left to the load generator.
std::vector<Violation> CheckTimeline(const std::vector<TimelineEvent>& events, const LogFacts& known);

}  // namespace jaymast
