#pragma once

#include <string>

#include "cli/command_context.h"

namespace jaymast {

/// `status` and `get VIEW`: prints a view of the server.
ExitCode RunView(CommandContext& context, const std::string& view);

/// `explain TASK`: says why a task has its state, for example which constraint keeps it waiting.
ExitCode RunExplain(CommandContext& context, const std::string& task);

/// `timeline`: prints the recent events that the entry keeps, one JSON object a line, as jaymast-timeline reads them.
ExitCode RunEvents(CommandContext& context);

}  // namespace jaymast
