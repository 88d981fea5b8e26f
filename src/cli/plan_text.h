#pragma once

#include <boost/json/object.hpp>
#include <string>

#include "cli/palette.h"

namespace jaymast {

/// A plan as a diff: the changes of the configuration, then starts (+), moves (~), stops (-) and refusals (!), then the
/// usable capacity of each failure domain and the headroom of each team after the confirmation.
///
/// @param plan the JSON of a plan as the server answers it; absent fields are left out
std::string FormatPlan(const boost::json::object& plan, const Palette& palette);

}  // namespace jaymast
