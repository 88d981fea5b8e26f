#include "testing/session_script.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>
#include <sstream>

namespace jaymast {
namespace {

std::optional<std::int64_t> ParseNumber(const std::string& word) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), value);
  if (error != std::errc() || end != word.data() + word.size()) return std::nullopt;
  return value;
}

std::optional<SessionCommand> ParseLine(const std::string& text) {
  std::istringstream words(text);
  std::string time;
  SessionCommand command;
  words >> time >> command.verb;
  const std::optional<std::int64_t> millis = ParseNumber(time);
  if (!millis || command.verb.empty()) return std::nullopt;
  command.at = Time(std::chrono::milliseconds(*millis));
  command.text = command.verb;
  for (std::string word; words >> word;) {
    command.text += " " + word;
    command.words.push_back(word);
  }
  return command;
}

}  // namespace

std::string SessionCommand::Word(std::size_t position) const {
  return position < words.size() ? words[position] : std::string();
}

std::string SessionCommand::Option(std::string_view name, std::string_view fallback) const {
  for (std::size_t i = 1; i + 1 < words.size(); ++i) {
    if (words[i] == name) return words[i + 1];
  }
  return std::string(fallback);
}

std::int64_t SessionCommand::Number(std::string_view name, std::int64_t fallback) const {
  return ParseNumber(Option(name)).value_or(fallback);
}

void SessionCommand::SetOption(const std::string& name, const std::string& value) {
  for (std::size_t i = 1; i + 1 < words.size(); ++i) {
    if (words[i] != name) continue;
    words[i + 1] = value;
    return;
  }
  words.push_back(name);
  words.push_back(value);
}

Result<std::vector<SessionCommand>> ParseSession(std::string_view text) {
  std::vector<SessionCommand> commands;
  std::istringstream lines{std::string(text)};
  std::size_t number = 0;
  for (std::string line; std::getline(lines, line);) {
    ++number;
    const std::size_t first = line.find_first_not_of(' ');
    if (first == std::string::npos || line[first] == '#') continue;
    std::optional<SessionCommand> command = ParseLine(line);
    if (!command) return Error{ErrorId::kInputSyntax, "line " + std::to_string(number), "expected: TIME VERB ..."};
    command->line = number;
    commands.push_back(std::move(*command));
  }
  std::stable_sort(commands.begin(), commands.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
  return commands;
}

}  // namespace jaymast
