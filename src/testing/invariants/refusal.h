#pragma once

#include <cstdint>
#include <cstdlib>

#include "base/enum_names.h"
#include "base/verdict.h"
#include "core/event.h"

namespace jaymast {

/// Whether a reply event tells the caller that its request was refused as not run. The detail of a reply begins with
/// the HTTP status. An accepted task that has not run yet is answered with a success status.
inline bool IsRefusal(const Event& reply) {
  constexpr std::int64_t kFirstErrorStatus = 400;
  const bool failed = std::strtoll(reply.detail.c_str(), nullptr, 10) >= kFirstErrorStatus;
  return failed && reply.verdict == ToString(Verdict::kNotRun);
}

}  // namespace jaymast
