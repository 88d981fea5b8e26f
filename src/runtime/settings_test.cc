#include "runtime/settings.h"

#include <gtest/gtest.h>

#include "runtime/toml_reader.h"
#include "testing/property_check.h"

namespace jaymast {
namespace {

constexpr const char* kMinimal = R"(name = "e1"
domain = "north"
[http]
address = "127.0.0.1:8080"
[peer]
address = "127.0.0.1:9080"
[platform]
table = "127.0.0.1:7001"
instances = "127.0.0.1:7003"
)";

Result<Settings> Read(const std::string& text) { return ReadSettings(*TomlReader::ReadText(text, "entry.toml")); }

/// Error of a settings text as "PATH: REASON".
std::string ErrorOf(const std::string& text) {
  const Result<Settings> settings = Read(text);
  return settings ? "no error" : settings.error().path + ": " + settings.error().reason;
}

TEST(SettingsTest, MinimalFileUsesTheDefaults) {
  const Result<Settings> settings = Read(kMinimal);
  ASSERT_TRUE(settings) << settings.error().path << settings.error().reason;
  EXPECT_EQ(settings->core.name, "e1");
  EXPECT_EQ(settings->core.peer_address, "127.0.0.1:9080");
  EXPECT_EQ(settings->core.lease_duration, EntrySettings().lease_duration);
  EXPECT_EQ(settings->preview_deadline, std::chrono::seconds(2));
  EXPECT_EQ(settings->events.output, EventOutput::kStdout);
}

// Guards against a budget of requests that is not read.
TEST(SettingsTest, HeldBytesOfRequestsAreRead) {
  EXPECT_EQ(Read(kMinimal)->http.max_held_bytes, 0U);
  std::string text = kMinimal;
  text.insert(text.find("[peer]"), "max_held_bytes = 100000000\n");
  EXPECT_EQ(Read(text)->http.max_held_bytes, 100'000'000U);
}

TEST(SettingsTest, ReadsEachTable) {
  const std::string key(64, 'a');
  const Result<Settings> settings = Read(std::string(kMinimal) + R"(
[core]
lease_duration_ms = 4000
max_queued_tasks = 5
[events]
output = "tcp"
address = "127.0.0.1:7009"
[upstream]
max_connections = 3
max_held_bytes = 5000000
[initial]
domains_out = ["south"]
[initial.policies]
batch = "first_fit"
[initial.teams.desk]
share = 2
limit = 40
[initial.keys.k1]
role = "operator"
team = "desk"
sha256 = ")" + key + "\"\n");
  ASSERT_TRUE(settings) << settings.error().path << settings.error().reason;
  EXPECT_EQ(settings->core.lease_duration, std::chrono::seconds(4));
  EXPECT_EQ(settings->core.max_queued_tasks, 5);
  EXPECT_EQ(settings->events.output, EventOutput::kTcp);
  EXPECT_EQ(settings->upstream.max_connections_per_host, 3U);
  EXPECT_EQ(settings->upstream.max_held_bytes, 5'000'000U);
  const ClusterConfig& config = settings->core.initial_config;
  EXPECT_EQ(config.teams.at(TeamId("desk")), (Team{2, 40}));
  EXPECT_EQ(config.keys.at(KeyId("k1")), (ApiKey{key, TeamId("desk"), Role::kOperator}));
  EXPECT_EQ(config.policies.at(WorkClass::kBatch), "first_fit");
  EXPECT_EQ(config.domains_out_of_service.count(DomainId("south")), 1U);
}

TEST(SettingsTest, ErrorsNameFileLineKeyAndExpectedRange) {
  EXPECT_EQ(ErrorOf("name = \"e1\"\n"), "entry.toml:1: domain: required, expected a string that is not empty");
  EXPECT_EQ(ErrorOf(std::string(kMinimal) + "[core]\nlease_duration_ms = 0\n"),
            "entry.toml:11: core.lease_duration_ms: expected a whole number from 1 to 3600000");
  EXPECT_EQ(ErrorOf(std::string(kMinimal) + "[core]\nlease = 1\n"), "entry.toml:11: core.lease: unknown key");
  EXPECT_EQ(ErrorOf(std::string(kMinimal) + "[events]\noutput = \"disk\"\n"),
            "entry.toml:11: events.output: expected one of none, stdout, fd, tcp");
  EXPECT_EQ(ErrorOf(std::string(kMinimal) + "[events]\naddress = \"localhost:1\"\n"),
            "entry.toml:11: events.address: expected IP:port with a numeric IP address");
  EXPECT_EQ(ErrorOf(std::string(kMinimal) + "[core]\nrenew_interval_ms = 3000\n"),
            "entry.toml:11: core.renew_interval_ms: expected less than lease_duration_ms");
}

// Guards against a malformed settings file that crashes the program, and against errors without file, line and key.
TEST(SettingsTest, ErrorsInMutatedFilesNameTheirLocation) {
  CheckWithFixedSeed(2'000, [] {
    const std::string text = MutatedBytes(kMinimal);
    Result<TomlReader> reader = TomlReader::ReadText(text, "entry.toml");
    if (!reader) {
      RC_ASSERT(reader.error().path.starts_with("entry.toml:"));
      RC_ASSERT(IsLocated(reader.error()));
      return;
    }
    const Result<Settings> settings = ReadSettings(std::move(*reader));
    RC_ASSERT(settings.has_value() || settings.error().path.starts_with("entry.toml:"));
    RC_ASSERT(settings.has_value() || IsLocated(settings.error()));
  });
}

}  // namespace
}  // namespace jaymast
