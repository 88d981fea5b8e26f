#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/id.h"
#include "base/result.h"
#include "membership/lifecycle.h"

namespace jaymast {

/// Value of the row `entry/<id>`: the lease record of one entry. Each renewal rewrites it.
struct EntryRecord {
  DomainId domain;
  std::string peer_address;
  EntryState state = EntryState::kJoining;
  std::int64_t config_version = 0;  ///< configuration version that the entry acknowledges
  std::int64_t renewals = 0;
};

inline constexpr std::string_view kEntryPrefix = "entry/";
inline constexpr std::string_view kAdoptPrefix = "adopt/";

/// Key of the lease record of an entry.
std::string EntryKey(const EntryId& id);

/// Key of the row that exists while an entry is the home of its tasks. Every write to the journal requires it.
std::string HomeKey(const EntryId& id);

/// Key of the row that names the entry which took over the tasks of entry `id`.
std::string AdoptKey(const EntryId& id);

std::string Encode(const EntryRecord& record);
Result<EntryRecord> DecodeEntryRecord(const std::string& text);

}  // namespace jaymast
