#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "placement/upstream_speeds.h"

namespace jaymast {

inline constexpr const char* kSpeedsKey = "speeds";

/// Encodes the learned slowness of upstreams for a successor, 4 to 12 kB for 350 upstreams. Leaves out those beyond
/// what a row of the store holds.
std::string EncodeSpeeds(const std::vector<LearnedSlowness>& speeds);
/// Returns nothing if the text is malformed.
std::optional<std::vector<LearnedSlowness>> DecodeSpeeds(std::string_view text);

}  // namespace jaymast
