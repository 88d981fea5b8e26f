#pragma once

#include <array>
#include <string_view>

#include "base/enum_names.h"

namespace jaymast {

/// Whether a call needs a transaction of the store.
enum class CallKind { kRead, kWrite };

template <>
struct EnumNames<CallKind> {
  static constexpr std::array<std::string_view, 2> kNames = {"read", "write"};
};

}  // namespace jaymast
