#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/id.h"
#include "base/result.h"

namespace jaymast {

/// Largest number of tasks that one entry can be allotted: the largest limit of a team.
inline constexpr std::int64_t kMaxAllotment = 1'000'000;

/// Encodes the value of the row `allot/<team>`. Holders with amount 0 are left out.
std::string EncodeAllotments(const std::map<EntryId, std::int64_t>& holders);

/// Decodes the value of the row `allot/<team>`.
///
/// Amounts are clamped to 0..kMaxAllotment, so that sums of amounts and their products with a limit cannot overflow,
/// and too large amounts still count against the limit.
/// @return the amount of each holder, or an error for a malformed value
Result<std::map<EntryId, std::int64_t>> DecodeAllotments(const std::string& text);

}  // namespace jaymast
