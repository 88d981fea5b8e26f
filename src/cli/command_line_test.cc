#include "cli/command_line.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

#include "cli/cli_test_client.h"

namespace jaymast {
namespace {

class CommandLineTest : public testing::Test {
 protected:
  /// Runs a command line against one scripted answer.
  ExitCode Run(std::vector<std::string> arguments, int status = 200, const std::string& answer = "{}") {
    m_out.str("");
    m_err.str("");
    CommandLine line({.in = m_in,
                      .out = m_out,
                      .err = m_err,
                      .terminal = false,
                      .make_client = [&](const ClientSettings& settings) -> Result<std::unique_ptr<ApiClient>> {
                        m_settings = settings;
                        auto client = std::make_unique<ScriptedClient>();
                        client->Answer(status, answer);
                        return std::unique_ptr<ApiClient>(std::move(client));
                      },
                      .random_hex = [] { return std::string(64, 'b'); },
                      .sleep = [](std::chrono::milliseconds) {}});
    return line.Run(std::move(arguments));
  }

  std::string WriteFile(const std::string& name, const std::string& text) {
    std::string path = testing::TempDir() + name;
    std::ofstream(path) << text;
    return path;
  }

  std::istringstream m_in;
  std::ostringstream m_out;
  std::ostringstream m_err;
  ClientSettings m_settings;
};

TEST_F(CommandLineTest, HelpAndVersionSucceedAndWrongArgumentsDoNot) {
  EXPECT_EQ(Run({"--help"}), ExitCode::kSuccess);
  EXPECT_NE(m_out.str().find("Exit codes: 0 success"), std::string::npos);
  EXPECT_EQ(Run({"--version"}), ExitCode::kSuccess);
  EXPECT_EQ(m_out.str(), "jaymast " JAYMAST_VERSION "\n");
  EXPECT_EQ(Run({}), ExitCode::kUsage);
  EXPECT_EQ(Run({"get", "nothing"}), ExitCode::kUsage);
  EXPECT_EQ(Run({"confirm", "p1", "x"}), ExitCode::kUsage);
}

// Guards against a settings file that overrides the command line.
TEST_F(CommandLineTest, OptionsTakePrecedenceOverTheSettingsFile) {
  const std::string file = WriteFile("client.toml", "server = \"127.0.0.1:1\"\nkey_file = \"k\"\noutput = \"json\"\n");
  EXPECT_EQ(Run({"--config", file, "get", "teams", "--server", "127.0.0.1:2"}, 200, R"({"teams":[{"team":"a"}]})"),
            ExitCode::kSuccess);
  EXPECT_EQ(m_settings.server, "127.0.0.1:2");
  EXPECT_EQ(m_settings.key_file, "k");
  EXPECT_EQ(m_out.str(), "{\"teams\":[{\"team\":\"a\"}]}\n");
  EXPECT_EQ(Run({"--config", file, "--output", "table", "get", "teams"}, 200, R"({"teams":[{"team":"a"}]})"),
            ExitCode::kSuccess);
  EXPECT_EQ(m_out.str(), "TEAM\na\n");
}

TEST_F(CommandLineTest, UnknownSettingsAreErrorsWithFileLineAndKey) {
  const std::string file = WriteFile("bad.toml", "server = \"127.0.0.1:1\"\nkeyfile = \"k\"\n");
  EXPECT_EQ(Run({"--config", file, "status"}), ExitCode::kInput);
  EXPECT_EQ(m_err.str(), "error: jaymast.input.field: " + file + ":2: keyfile: unknown field\n");
  EXPECT_EQ(Run({"config", "check", file}), ExitCode::kInput);
}

TEST_F(CommandLineTest, ConfigCheckRecognisesTheKindOfFile) {
  const std::string file = WriteFile("intents.toml", "[[intent]]\ntype = \"domain_out\"\ndomain = \"a\"\n");
  EXPECT_EQ(Run({"config", "check", file}), ExitCode::kSuccess);
  EXPECT_EQ(m_out.str(), file + ": valid (intents)\n");
  EXPECT_EQ(Run({"config", "check", "--kind", "tasks", file}), ExitCode::kInput);
  const std::string entry = WriteFile("entry.toml", "name = \"e1\"\ndomain = \"d1\"\n[platform]\ntabel = \"x\"\n");
  EXPECT_EQ(Run({"config", "check", entry}), ExitCode::kInput);
}

TEST_F(CommandLineTest, PreviewWritesTheOutputUnchanged) {
  const std::string file = WriteFile("preview.toml", "[[task]]\nteam = \"desk\"\nkind = \"span\"\n");
  EXPECT_EQ(Run({"preview", file}, 200, "raw \x01 output"), ExitCode::kSuccess);
  EXPECT_EQ(m_out.str(), "raw \x01 output");
}

TEST_F(CommandLineTest, CompletionListsSubcommandsAndOptions) {
  EXPECT_EQ(Run({"completion", "bash"}), ExitCode::kSuccess);
  EXPECT_NE(m_out.str().find("    'keys give') words='--help --team --role --yes "), std::string::npos);
  EXPECT_NE(m_out.str().find("complete -o filenames -F _jaymast_complete jaymast\n"), std::string::npos);
}

}  // namespace
}  // namespace jaymast
