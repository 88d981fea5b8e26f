#pragma once

#include <array>
#include <string_view>

#include "base/enum_names.h"

namespace jaymast {

/// Whether a request took effect at an upstream.
enum class Verdict { kNotRun, kMayHaveRun, kRan };

template <>
struct EnumNames<Verdict> {
  static constexpr std::array<std::string_view, 3> kNames = {"not_run", "may_have_run", "ran"};
};

/// Execution semantics of a task.
enum class Semantics {
  kIdempotent,  ///< may run more than once
  kAtMostOnce,  ///< never retried once it may have run, such as orders and approvals
  kExclusive,   ///< may run again, but never concurrently
};

template <>
struct EnumNames<Semantics> {
  static constexpr std::array<std::string_view, 3> kNames = {"idempotent", "at_most_once", "exclusive"};
};

/// Whether work that ended with the verdict may be retried automatically.
constexpr bool MayRetry(Verdict verdict, Semantics semantics) {
  if (verdict == Verdict::kNotRun) return true;
  return verdict == Verdict::kMayHaveRun && semantics == Semantics::kIdempotent;
}

}  // namespace jaymast
