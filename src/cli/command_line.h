#pragma once

#include <CLI/CLI.hpp>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

#include "cli/client_settings.h"
#include "cli/command_context.h"
#include "model/cluster_config.h"

namespace jaymast {

/// The command line of the program `jaymast`: declares options and subcommands, and runs the chosen one.
class CommandLine {
 public:
  using ClientFactory = std::function<Result<std::unique_ptr<ApiClient>>(const ClientSettings&)>;

  /// Streams and sources of the process, replaced in tests.
  struct Environment {
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
    bool terminal = false;  ///< whether `out` is a terminal, which enables colour
    ClientFactory make_client;
    std::function<std::string()> random_hex;
    std::function<void(std::chrono::milliseconds)> sleep;
  };

  explicit CommandLine(Environment environment);

  /// Parses the arguments, without the name of the program, and runs the command.
  ExitCode Run(std::vector<std::string> arguments);

 private:
  using Action = std::function<ExitCode(CommandContext&)>;

  void AddGlobalOptions();
  void AddPlanCommands();
  void AddTaskCommands();
  void AddViewCommands();
  void AddDomainCommands();
  void AddKeyCommands();
  void AddLocalCommands();
  CLI::App* AddCommand(CLI::App& parent, const std::string& name, const std::string& description, Action action);
  CLI::App* AddFileCommand(const std::string& name, const std::string& description, Action action);

  Result<ClientSettings> ReadSettings() const;
  ExitCode Execute();

  Environment m_environment;
  CLI::App m_app;
  Action m_action;
  bool m_needs_server = true;

  std::string m_config_file;
  std::string m_server;
  std::string m_key_file;
  std::string m_ca_file;
  std::string m_output;
  std::string m_file;
  std::string m_name;
  std::string m_team;
  std::string m_role = "submitter";
  std::string m_idempotency_key;
  std::string m_document_kind = "auto";
  std::int64_t m_version = 0;
  std::int64_t m_wait_s = 0;
  bool m_yes = false;
  bool m_wait = false;
};

}  // namespace jaymast
