#pragma once

#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

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

/// Number of tasks that run in the target, from the JSON of view `upstreams`, or nothing when the view does not list
/// the target.
std::optional<std::int64_t> RunningIn(const DrainTarget& target, const boost::json::object& upstreams_view);

/// Names that `drain` and `restore` accept, resolved against the views of the server.
std::optional<DrainTarget> FindDrainTarget(const std::string& name, const boost::json::object& upstreams_view);

/// `drain NAME`: plans, confirms, and reports the number of running tasks until it is zero.
///
/// @param patience longest time to wait; then the command ends with kTimeout and the target stays out of service
ExitCode RunDrain(CommandContext& context, const std::string& name, std::chrono::milliseconds patience);

/// `restore NAME`: plans and confirms the return to service.
ExitCode RunRestore(CommandContext& context, const std::string& name);

}  // namespace jaymast
