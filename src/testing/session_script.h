#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"

namespace jaymast {

/// One line of a session file: a time in milliseconds, a verb, and words.
struct SessionCommand {
  std::size_t line = 0;
  Time at;
  std::string verb;
  std::vector<std::string> words;  ///< everything after the verb
  std::string text;                ///< the line without the time

  /// Word at a position, or an empty text.
  std::string Word(std::size_t position) const;

  /// Word after the given name, searched after the first word. The fallback when the name is absent.
  std::string Option(std::string_view name, std::string_view fallback = "") const;
  std::int64_t Number(std::string_view name, std::int64_t fallback) const;

  /// Replaces or adds the word after the given name.
  void SetOption(const std::string& name, const std::string& value);
};

/// Reads the commands of a session file in the order of their times. Lines that begin with # are comments.
/// @return the commands, or kInputSyntax with the number of the first bad line
Result<std::vector<SessionCommand>> ParseSession(std::string_view text);

}  // namespace jaymast
