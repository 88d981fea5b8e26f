#include "cli/key_commands.h"

#include <fmt/format.h>
#include <openssl/rand.h>

#include <ostream>
#include <stdexcept>
#include <vector>

#include "base/hash.h"
#include "cli/plan_commands.h"
#include "model/intent.h"

namespace jaymast {

std::string RandomHex(std::size_t bytes) {
  std::vector<unsigned char> data(bytes);
  if (RAND_bytes(data.data(), static_cast<int>(data.size())) != 1) {
    throw std::runtime_error("the system's random source failed");
  }
  std::string text;
  for (const unsigned char byte : data) text += fmt::format("{:02x}", byte);
  return text;
}

ExitCode RunKeysGive(CommandContext& context, const std::string& key, const std::string& team, Role role) {
  const std::string secret = context.random_hex();
  const GrantKeyIntent intent{KeyId(key), ApiKey{Sha256Hex(secret), TeamId(team), role}};
  const ExitCode code = RunApply(context, {intent});
  // The change may have taken effect when the outcome is unknown, so the secret is shown then too.
  if (code == ExitCode::kSuccess || code == ExitCode::kOutcomeUnknown) {
    context.err << "The secret of the key follows. It is not stored and cannot be shown again.\n";
    context.out << secret << "\n";
  }
  return code;
}

ExitCode RunKeysWithdraw(CommandContext& context, const std::string& key) {
  return RunApply(context, {RevokeKeyIntent{KeyId(key)}});
}

}  // namespace jaymast
