#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace jaymast {

/// Meaning of a piece of output, which selects its colour on a terminal.
enum class Tone { kHeading, kAdded, kChanged, kRemoved, kWarning };

/// Adds terminal colours to text, or leaves the text as it is when the output is not a terminal.
class Palette {
 public:
  explicit Palette(bool enabled) : m_enabled(enabled) {}

  std::string Paint(Tone tone, std::string_view text) const {
    if (!m_enabled) return std::string(text);
    std::string painted(kSequences.at(static_cast<std::size_t>(tone)));
    painted += text;
    painted += "\x1b[0m";
    return painted;
  }

 private:
  /// SGR sequences: bold, green, yellow, red, magenta.
  static constexpr std::array<std::string_view, 5> kSequences = {"\x1b[1m", "\x1b[32m", "\x1b[33m", "\x1b[31m",
                                                                 "\x1b[35m"};

  bool m_enabled;
};

}  // namespace jaymast
