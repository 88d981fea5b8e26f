#pragma once

#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cli/command_context.h"
#include "model/intent.h"

namespace jaymast {

/// What the name given to `drain` or `restore` stands for.
enum class DrainKind { kDomain, kUpstream };

struct DrainTarget {
  DrainKind kind = DrainKind::kDomain;
  std::string name;
};

/// Intent that takes a target out of service or returns it.
Intent DrainIntent(const DrainTarget& target, bool out);

/// Tasks on the upstreams of a target. Only the owner of an upstream reports its tasks.
struct DrainProgress {
  std::int64_t running = 0;
  std::int64_t unreported = 0;  ///< upstreams whose owner was not asked or did not answer
};

/// Sums the progress over the JSON of view `upstreams` of several entries.
/// @return nothing when no view lists the target
std::optional<DrainProgress> ProgressOf(const DrainTarget& target, const std::vector<boost::json::object>& views);

/// Names that `drain` and `restore` accept, resolved against the views of the server.
std::optional<DrainTarget> FindDrainTarget(const std::string& name, const std::vector<boost::json::object>& views);

/// `drain NAME`: plans, confirms, and reports the number of running tasks until it is zero.
///
/// The settings must name an entry of each failure domain concerned, or the progress stays unknown.
///
/// @param patience longest time to wait; then the command ends with kTimeout and the target stays out of service
ExitCode RunDrain(CommandContext& context, const std::string& name, std::chrono::milliseconds patience);

/// `restore NAME`: plans and confirms the return to service.
ExitCode RunRestore(CommandContext& context, const std::string& name);

}  // namespace jaymast
