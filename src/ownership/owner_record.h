#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/id.h"
#include "base/result.h"

namespace jaymast {

/// Value of the row `owner/<domain>/<upstream>`.
struct OwnerRecord {
  EntryId owner;
  std::int64_t epoch = 0;
  std::int64_t fenced_epoch = 0;  ///< highest epoch at which an owner fenced the runner and counted its tasks
  EntryId covered_by;             ///< entry that holds the allotments of the tasks that run there
  std::int64_t reset_epoch = 0;   ///< the runner may have forgotten tasks claimed at a lower epoch

  bool IsFenced() const { return fenced_epoch == epoch; }

  friend bool operator==(const OwnerRecord&, const OwnerRecord&) = default;
};

inline constexpr std::string_view kOwnerPrefix = "owner/";

/// Prefix of the owner rows of a failure domain.
std::string OwnerPrefix(const DomainId& domain);
std::string OwnerKey(const DomainId& domain, const UpstreamId& upstream);

std::string Encode(const OwnerRecord& record);
Result<OwnerRecord> DecodeOwnerRecord(const std::string& text);

}  // namespace jaymast
