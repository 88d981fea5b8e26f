#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cli/command_context.h"
#include "model/intent.h"

namespace jaymast {

/// `plan FILE`: asks for a plan of the intents and prints it.
ExitCode RunPlan(CommandContext& context, const std::vector<Intent>& intents);

/// `apply FILE`: asks for a plan, prints it, and confirms it when the operator agrees.
///
/// When another operator changed the configuration meanwhile, the new plan is printed. With `assume_yes` the new plan
/// is not confirmed, because nobody has seen it, and the command ends with kConflict.
ExitCode RunApply(CommandContext& context, const std::vector<Intent>& intents);

/// `confirm PLAN VERSION`: confirms a plan that `plan` printed.
ExitCode RunConfirm(CommandContext& context, const std::string& plan, std::int64_t base_version);

/// Asks for a yes or no answer. End of input is a no.
bool AskToConfirm(CommandContext& context, const std::string& question);

}  // namespace jaymast
