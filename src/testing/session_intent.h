#pragma once

#include <optional>

#include "model/intent.h"
#include "testing/session_script.h"

namespace jaymast {

/// Reads the intent of a `plan` command from the words after `intent`:
/// `domain-out D`, `domain-in D`, `upstream-out U`, `upstream-in U`, `limit TEAM N`, `share TEAM N LIMIT`,
/// `withdraw KEY`, `give KEY TEAM`, `remove-team TEAM` or `run TEAM COUNT MS`.
/// @return nothing when the words are not an intent
std::optional<Intent> ParseSessionIntent(const SessionCommand& command);

}  // namespace jaymast
