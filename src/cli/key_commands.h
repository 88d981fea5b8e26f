#pragma once

#include <string>

#include "cli/command_context.h"
#include "model/cluster_config.h"

namespace jaymast {

/// Bytes of randomness in a generated secret.
inline constexpr std::size_t kSecretBytes = 32;

/// Random bytes of the system's random source as lower-case hexadecimal digits.
std::string RandomHex(std::size_t bytes);

/// `keys give KEY`: generates a secret, sends its SHA-256 in a plan, and prints the secret once after the confirmation.
ExitCode RunKeysGive(CommandContext& context, const std::string& key, const std::string& team, Role role);

/// `keys withdraw KEY`: plans and confirms that a key stops working.
ExitCode RunKeysWithdraw(CommandContext& context, const std::string& key);

}  // namespace jaymast
