#pragma once

#include <string>
#include <vector>

#include "cli/command_context.h"

namespace jaymast {

/// Values of `--kind`: auto, intents, tasks, client, entry.
std::vector<std::string> ConfigCheckKinds();

/// `config check FILE`: reports the first error of a file with file, line and key.
///
/// @param kind one of ConfigCheckKinds(); "auto" decides by the keys of the file
ExitCode RunConfigCheck(CommandContext& context, const std::string& file, const std::string& kind);

}  // namespace jaymast
