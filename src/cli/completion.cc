#include "cli/completion.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>

namespace jaymast {
namespace {

/// Words that may follow a command: its subcommands and the long names of its options and those of its parents.
std::string WordsOf(const CLI::App& app) {
  std::string words;
  for (const CLI::App* sub : app.get_subcommands(nullptr)) words += sub->get_name() + " ";
  for (const CLI::App* level = &app; level != nullptr; level = level->get_parent()) {
    for (const CLI::Option* option : level->get_options()) {
      for (const std::string& name : option->get_lnames()) words += "--" + name + " ";
    }
  }
  words.erase(words.find_last_not_of(' ') + 1);
  return words;
}

/// One case branch for a command, and those of its subcommands.
std::string Branches(const CLI::App& app, const std::string& path) {
  std::string text = fmt::format("    '{}') words='{}' ;;\n", path, WordsOf(app));
  for (const CLI::App* sub : app.get_subcommands(nullptr)) {
    text += Branches(*sub, path.empty() ? sub->get_name() : path + " " + sub->get_name());
  }
  return text;
}

/// Case pattern of all paths of commands.
std::string Paths(const CLI::App& app, const std::string& path) {
  std::string text;
  for (const CLI::App* sub : app.get_subcommands(nullptr)) {
    const std::string sub_path = path.empty() ? sub->get_name() : path + " " + sub->get_name();
    text += fmt::format("{}'{}'{}", text.empty() ? "" : "|", sub_path, "");
    const std::string below = Paths(*sub, sub_path);
    if (!below.empty()) text += "|" + below;
  }
  return text;
}

}  // namespace

std::string BashCompletion(const CLI::App& app) {
  const std::string& name = app.get_name();
  std::string text = fmt::format("_{}_complete() {{\n", name);
  text += "  local path='' word words=''\n";
  text += "  for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n";
  text += "    case \"${path:+$path }$word\" in\n";
  text += fmt::format("      {}) path=\"${{path:+$path }}$word\" ;;\n", Paths(app, ""));
  text += "    esac\n  done\n  case \"$path\" in\n";
  text += Branches(app, "");
  text += "  esac\n";
  text += "  COMPREPLY=($(compgen -W \"$words\" -f -- \"${COMP_WORDS[COMP_CWORD]}\"))\n}\n";
  return text + fmt::format("complete -o filenames -F _{}_complete {}\n", name, name);
}

}  // namespace jaymast
