#pragma once

#include <array>
#include <string_view>

#include "base/enum_names.h"

namespace jaymast {

/// Kinds of requests that the load program sends.
enum class WorkStream {
  kPreview,
  kSubmission,
  kBaseline,  ///< the work of a preview, sent directly to a runner
};

template <>
struct EnumNames<WorkStream> {
  static constexpr std::array<std::string_view, 3> kNames = {"preview", "submission", "baseline"};
};

}  // namespace jaymast
