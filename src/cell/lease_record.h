#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/id.h"
#include "jobs/upstream_listing.h"

namespace jaymast {

inline constexpr const char* kLeaseKey = "leases";

/// Ends of the leases of upstreams that do not reply, in ms on the clock of the store. While an upstream is in the row,
/// no leader extends its leases, so that a successor knows when they have surely ended.
using LeaseBounds = std::map<UpstreamId, std::int64_t>;

/// Upstreams in the row. Their ids take up to 400 bytes each in JSON, and a row of the store holds 64 KiB.
inline constexpr std::size_t kMaxLeaseBounds = 128;

std::string EncodeLeaseBounds(const LeaseBounds& bounds);
/// Returns nothing if the text is malformed.
std::optional<LeaseBounds> DecodeLeaseBounds(std::string_view text);

}  // namespace jaymast
