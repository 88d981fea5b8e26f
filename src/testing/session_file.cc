#include "testing/session_file.h"

#include <fstream>
#include <iterator>

#include "testing/event_line.h"
#include "testing/session_player.h"

namespace jaymast {

Result<SessionOutcome> PlaySessionText(const std::string& text) {
  SessionPlayer player;
  const std::optional<Error> error = player.Play(text);
  if (error) return *error;
  SessionOutcome outcome;
  for (const Violation& violation : player.Check()) {
    outcome.failures.push_back("violation of " + violation.guarantee + ": " + violation.reason + ": " +
                               EventLine(violation.event));
  }
  for (const std::string& failed : player.failed_expectations()) outcome.failures.push_back("failed " + failed);
  outcome.output = player.trace();
  for (const std::string& failure : outcome.failures) outcome.output += failure + "\n";
  return outcome;
}

Result<SessionOutcome> PlaySessionFile(const std::filesystem::path& file) {
  const std::optional<std::string> text = ReadFile(file);
  if (!text) return Error{ErrorId::kInputSyntax, file.filename().string(), "cannot read the file"};
  Result<SessionOutcome> outcome = PlaySessionText(*text);
  if (outcome) return outcome;
  const Error& error = outcome.error();
  return Error{error.id, file.filename().string() + ": " + error.path, error.reason};
}

std::filesystem::path GoldenFileOf(const std::filesystem::path& session) {
  return std::filesystem::path(session).replace_extension(".golden");
}

std::optional<std::string> ReadFile(const std::filesystem::path& file) {
  std::ifstream stream(file, std::ios::binary);
  if (!stream) return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(stream), {});
}

}  // namespace jaymast
