#pragma once

#include <string>

namespace CLI {
class App;
}  // namespace CLI

namespace jaymast {

/// Bash completion script for a program: subcommands, options, and file names elsewhere.
std::string BashCompletion(const CLI::App& app);

}  // namespace jaymast
