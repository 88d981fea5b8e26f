#include "cli/command_line.h"

#include <fmt/format.h>

#include <ostream>
#include <utility>

#include "cli/completion.h"
#include "cli/config_check.h"
#include "cli/domain_commands.h"
#include "cli/input_files.h"
#include "cli/key_commands.h"
#include "cli/plan_commands.h"
#include "cli/task_commands.h"
#include "cli/view_commands.h"

namespace jaymast {
namespace {

constexpr char kDescription[] = "Operator and submitter program of the jaymast cluster scheduler.";
constexpr char kFooter[] =
    "Exit codes: 0 success, 1 refused, 2 wrong arguments, 3 invalid file or setting, 4 server unavailable (nothing\n"
    "was done), 5 configuration conflict, 6 not authorized, 7 plan not confirmed, 8 task failed, 9 outcome unknown\n"
    "(may have taken effect), 10 not complete in time.";
constexpr std::int64_t kDefaultTaskWaitSeconds = 600;
constexpr std::int64_t kDefaultPreviewSeconds = 30;
constexpr std::int64_t kDefaultDrainSeconds = 600;
constexpr std::int64_t kMaxWaitSeconds = 600;  // longest wait that an entry accepts
constexpr std::int64_t kMaxDrainSeconds = 86'400;

/// Reads a file, decodes it and passes the items on.
template <typename Decode, typename Use>
ExitCode WithFile(CommandContext& context, const std::string& file, Decode decode, Use use) {
  const Result<std::string> text = ReadInputFile(file);
  if (!text) return ReportError(context, text.error());
  const Result<LocatedDocument> document = LocatedDocument::Parse(*text, file);
  if (!document) return ReportError(context, document.error());
  const auto items = decode(*document);
  if (!items) return ReportError(context, items.error());
  return use(*items);
}

ExitCode PreviewFirst(CommandContext& context, const std::string& file, const std::vector<TaskSpec>& specs,
                      std::chrono::milliseconds timeout) {
  if (specs.size() != 1) return ReportError(context, Error{ErrorId::kInputField, file, "expected one [[task]] table"});
  TaskSpec spec = specs.front();
  spec.work_class = WorkClass::kPreview;
  return RunPreview(context, spec, timeout);
}

}  // namespace

CommandLine::CommandLine(Environment environment)
    : m_environment(std::move(environment)), m_app(kDescription, "jaymast") {
  m_app.set_version_flag("--version", "jaymast " JAYMAST_VERSION);
  m_app.footer(kFooter);
  m_app.require_subcommand(1);
  m_app.fallthrough();
  AddGlobalOptions();
  AddPlanCommands();
  AddTaskCommands();
  AddViewCommands();
  AddDomainCommands();
  AddKeyCommands();
  AddLocalCommands();
}

void CommandLine::AddGlobalOptions() {
  m_app.add_option("--server", m_server, "IP number and port of an entry, or of several with commas [127.0.0.1:8080]")
      ->envname("JAYMAST_SERVER");
  m_app.add_option("--key-file", m_key_file, "File with the secret of a key")->envname("JAYMAST_KEY_FILE");
  m_app.add_option("--ca-file", m_ca_file, "Certificates that sign the server's; enables TLS");
  m_app.add_option("--output", m_output, "table or json [table]")->check(CLI::IsMember({"table", "json"}));
  m_app.add_option("--config", m_config_file, "TOML file with settings")->envname("JAYMAST_CONFIG");
}

CLI::App* CommandLine::AddCommand(CLI::App& parent, const std::string& name, const std::string& description,
                                  Action action) {
  CLI::App* command = parent.add_subcommand(name, description);
  command->callback([this, action = std::move(action)] { m_action = action; });
  return command;
}

CLI::App* CommandLine::AddFileCommand(const std::string& name, const std::string& description, Action action) {
  CLI::App* command = AddCommand(m_app, name, description, std::move(action));
  command->add_option("FILE", m_file, "TOML or JSON file, - for standard input")->required();
  return command;
}

void CommandLine::AddPlanCommands() {
  AddFileCommand("plan", "Show what a file of intents would change", [this](CommandContext& context) {
    return WithFile(context, m_file, IntentsFromDocument, [&](const auto& all) { return RunPlan(context, all); });
  });
  CLI::App* apply = AddFileCommand("apply", "Plan a file of intents and confirm it", [this](CommandContext& context) {
    return WithFile(context, m_file, IntentsFromDocument, [&](const auto& all) { return RunApply(context, all); });
  });
  apply->add_flag("--yes", m_yes, "Confirm without asking");
  CLI::App* confirm = AddCommand(m_app, "confirm", "Confirm a plan that was shown before",
                                 [this](CommandContext& context) { return RunConfirm(context, m_name, m_version); });
  confirm->add_option("PLAN", m_name, "Id of the plan")->required();
  confirm->add_option("VERSION", m_version, "Configuration version the plan was made from")->required();
}

void CommandLine::AddTaskCommands() {
  const auto wait_time = [this](std::int64_t fallback) {
    return std::chrono::seconds(m_wait_s > 0 ? m_wait_s : fallback);
  };
  const CLI::Range seconds(std::int64_t{1}, kMaxWaitSeconds);
  CLI::App* submit = AddFileCommand("submit", "Submit tasks", [this, wait_time](CommandContext& context) {
    const std::chrono::milliseconds wait = m_wait ? wait_time(kDefaultTaskWaitSeconds) : std::chrono::seconds(0);
    const SubmitOptions options{wait, m_idempotency_key};
    return WithFile(context, m_file, TasksFromDocument,
                    [&](const auto& specs) { return RunSubmit(context, specs, options); });
  });
  submit->add_flag("--wait", m_wait, "Wait for the end of the tasks");
  submit->add_option("--timeout", m_wait_s, "Seconds to wait [600]")->check(seconds);
  submit->add_option("--idempotency-key", m_idempotency_key, "Prefix for tasks without a key; repeat it to retry");
  CLI::App* preview = AddFileCommand("preview", "Run a preview", [this, wait_time](CommandContext& context) {
    return WithFile(context, m_file, TasksFromDocument, [&](const auto& specs) {
      return PreviewFirst(context, m_file, specs, wait_time(kDefaultPreviewSeconds));
    });
  });
  preview->add_option("--timeout", m_wait_s, "Seconds until the deadline [30]")->check(seconds);
  CLI::App* task = AddCommand(m_app, "task", "Show a task", [this, wait_time](CommandContext& context) {
    return RunTaskStatus(context, m_name, m_wait ? wait_time(kDefaultTaskWaitSeconds) : std::chrono::seconds(0));
  });
  task->add_option("TASK", m_name, "Id of the task")->required();
  task->add_flag("--wait", m_wait, "Wait for the end of the task");
  task->add_option("--timeout", m_wait_s, "Seconds to wait [600]")->check(seconds);
  CLI::App* cancel = AddCommand(m_app, "cancel", "Cancel a task",
                                [this](CommandContext& context) { return RunCancel(context, m_name); });
  cancel->add_option("TASK", m_name, "Id of the task")->required();
}

void CommandLine::AddViewCommands() {
  AddCommand(m_app, "status", "Show the state of the cluster",
             [](CommandContext& context) { return RunView(context, "status"); });
  CLI::App* get =
      AddCommand(m_app, "get", "Show a list", [this](CommandContext& context) { return RunView(context, m_name); });
  get->add_option("VIEW", m_name, "teams, upstreams, tasks, domains, entries or keys")
      ->required()
      ->check(CLI::IsMember({"teams", "upstreams", "tasks", "domains", "entries", "keys"}));
  CLI::App* explain = AddCommand(m_app, "explain", "Say why a task has its state",
                                 [this](CommandContext& context) { return RunExplain(context, m_name); });
  explain->add_option("TASK", m_name, "Id of the task")->required();
  AddCommand(m_app, "timeline", "Print the recent events of an entry, one JSON object a line", RunEvents);
}

void CommandLine::AddDomainCommands() {
  CLI::App* drain = AddCommand(
      m_app, "drain", "Take a failure domain or an upstream out of service and wait", [this](CommandContext& context) {
        const auto patience = std::chrono::seconds(m_wait_s > 0 ? m_wait_s : kDefaultDrainSeconds);
        return RunDrain(context, m_name, patience);
      });
  drain->add_option("--timeout", m_wait_s, "Seconds to wait until it is drained [600]")
      ->check(CLI::Range(std::int64_t{1}, kMaxDrainSeconds));
  CLI::App* restore = AddCommand(m_app, "restore", "Return a failure domain or an upstream to service",
                                 [this](CommandContext& context) { return RunRestore(context, m_name); });
  for (CLI::App* command : {drain, restore}) {
    command->add_option("NAME", m_name, "Failure domain or upstream")->required();
    command->add_flag("--yes", m_yes, "Confirm without asking");
  }
}

void CommandLine::AddKeyCommands() {
  CLI::App* keys = m_app.add_subcommand("keys", "Give, withdraw and list keys");
  keys->require_subcommand(1);
  CLI::App* give = AddCommand(*keys, "give", "Create a key and show its secret once", [this](CommandContext& context) {
    return RunKeysGive(context, m_name, m_team, FromString<Role>(m_role).value_or(Role::kSubmitter));
  });
  give->add_option("--team", m_team, "Team of the key")->required();
  give->add_option("--role", m_role, "submitter or operator [submitter]")
      ->check(CLI::IsMember({"submitter", "operator"}));
  CLI::App* withdraw = AddCommand(*keys, "withdraw", "Make a key stop working",
                                  [this](CommandContext& context) { return RunKeysWithdraw(context, m_name); });
  for (CLI::App* command : {give, withdraw}) {
    command->add_option("KEY", m_name, "Name of the key")->required();
    command->add_flag("--yes", m_yes, "Confirm without asking");
  }
  AddCommand(*keys, "list", "List keys without their secrets",
             [](CommandContext& context) { return RunView(context, "keys"); });
}

void CommandLine::AddLocalCommands() {
  CLI::App* config = m_app.add_subcommand("config", "Check files");
  config->require_subcommand(1);
  CLI::App* check =
      AddCommand(*config, "check", "Check a file without contacting a server",
                 [this](CommandContext& context) { return RunConfigCheck(context, m_file, m_document_kind); });
  check->add_option("FILE", m_file, "File to check")->required();
  check->add_option("--kind", m_document_kind, "What the file is [auto]")->check(CLI::IsMember(ConfigCheckKinds()));
  check->preparse_callback([this](std::size_t) { m_needs_server = false; });
  CLI::App* completion = m_app.add_subcommand("completion", "Print a completion script");
  completion->require_subcommand(1);
  CLI::App* bash = AddCommand(*completion, "bash", "For bash", [this](CommandContext& context) {
    context.out << BashCompletion(m_app);
    return ExitCode::kSuccess;
  });
  bash->preparse_callback([this](std::size_t) { m_needs_server = false; });
}

Result<ClientSettings> CommandLine::ReadSettings() const {
  ClientSettings settings;
  if (!m_config_file.empty()) {
    const Result<std::string> text = ReadInputFile(m_config_file);
    if (!text) return text.error();
    const Result<LocatedDocument> document = LocatedDocument::Parse(*text, m_config_file);
    if (!document) return document.error();
    Result<ClientSettings> read = ClientSettingsFromDocument(*document);
    if (!read) return read.error();
    settings = std::move(*read);
  }
  if (!m_server.empty()) settings.server = m_server;
  if (!m_key_file.empty()) settings.key_file = m_key_file;
  if (!m_ca_file.empty()) settings.ca_file = m_ca_file;
  settings.output = FromString<OutputFormat>(m_output).value_or(settings.output);
  return settings;
}

ExitCode CommandLine::Run(std::vector<std::string> arguments) {
  std::reverse(arguments.begin(), arguments.end());  // CLI11 takes the arguments from the back
  try {
    m_app.parse(std::move(arguments));
  } catch (const CLI::ParseError& error) {
    const int status = m_app.exit(error, m_environment.out, m_environment.err);
    return status == 0 ? ExitCode::kSuccess : ExitCode::kUsage;
  }
  return Execute();
}

ExitCode CommandLine::Execute() {
  class NoClient : public ApiClient {
    Result<ApiReply> Send(const ApiCall& call) override {
      return Error{ErrorId::kNotServing, call.target, "this command contacts no server"};
    }
  };
  NoClient no_client;
  CommandContext context{.api = no_client,
                         .in = m_environment.in,
                         .out = m_environment.out,
                         .err = m_environment.err,
                         .palette = Palette(m_environment.terminal),
                         .output = OutputFormat::kTable,
                         .assume_yes = m_yes,
                         .random_hex = m_environment.random_hex,
                         .sleep = m_environment.sleep};
  if (!m_needs_server) return m_action(context);
  const Result<ClientSettings> settings = ReadSettings();
  if (!settings) return ReportError(context, settings.error());
  const Result<std::unique_ptr<ApiClient>> client = m_environment.make_client(*settings);
  if (!client) return ReportError(context, client.error());
  CommandContext connected{.api = **client,
                           .in = context.in,
                           .out = context.out,
                           .err = context.err,
                           .palette = context.palette,
                           .output = settings->output,
                           .assume_yes = m_yes,
                           .random_hex = context.random_hex,
                           .sleep = context.sleep};
  return m_action(connected);
}

}  // namespace jaymast
