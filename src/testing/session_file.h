#pragma once

#include <filesystem>
#include <string>
#include <vector>

#include "base/result.h"

namespace jaymast {

/// What playing a session file gave.
struct SessionOutcome {
  std::string output;                 ///< the trace, then the failures: what the golden file holds
  std::vector<std::string> failures;  ///< violated guarantees and expectations
};

/// Plays a session file and runs the checkers of all guarantees over it.
/// @return the outcome, or kInputSyntax with the file and line when it cannot be read
Result<SessionOutcome> PlaySessionFile(const std::filesystem::path& file);

/// Plays a session text.
Result<SessionOutcome> PlaySessionText(const std::string& text);

/// The golden file beside a session file.
std::filesystem::path GoldenFileOf(const std::filesystem::path& session);

/// Contents of a file, or nothing when it cannot be read.
std::optional<std::string> ReadFile(const std::filesystem::path& file);

}  // namespace jaymast
