#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace jaymast {

/// Maps the enumerators of an enum to names. Each enum has a specialisation, whose kNames is in declaration order.
template <typename E>
struct EnumNames;

/// Returns the name of an enumerator, as used in messages and files.
template <typename E>
constexpr std::string_view ToString(E value) {
  return EnumNames<E>::kNames.at(static_cast<std::size_t>(value));
}

/// Returns the enumerator with the given name, or nothing when the name is unknown.
template <typename E>
constexpr std::optional<E> FromString(std::string_view name) {
  const auto& names = EnumNames<E>::kNames;
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (names[i] == name) return static_cast<E>(i);
  }
  return std::nullopt;
}

}  // namespace jaymast
