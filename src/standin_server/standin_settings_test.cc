#include "standin_server/standin_settings.h"

#include <gtest/gtest.h>

#include "runtime/toml_reader.h"

namespace jaymast {
namespace {

Result<StandinSettings> Read(const std::string& text) {
  return ReadStandinSettings(*TomlReader::ReadText(text, "standin.toml"));
}

TEST(StandinSettingsTest, PlatformAndRunnersAreRead) {
  const Result<StandinSettings> settings = Read(R"(
    control = "127.0.0.1:7100"
    [platform]
    address = "127.0.0.1:7101"
    latency_ms = 2
    [[platform.instance]]
    id = "elsewhere"
    domain = "d2"
    address = "127.0.0.1:7301"
    [[runner]]
    id = "u1"
    domain = "d1"
    address = "127.0.0.1:7201"
    slots = 4
    run_time_factor = 1.5
  )");
  ASSERT_TRUE(settings) << settings.error().path << settings.error().reason;
  EXPECT_EQ(settings->platform->faults.latency, std::chrono::milliseconds(2));
  EXPECT_EQ(settings->platform->instances.upstreams.at(0).domain, DomainId("d2"));
  EXPECT_EQ(settings->runners.at(0).settings.capacity.slots, 4);
  EXPECT_EQ(settings->runners.at(0).settings.run_time_factor, 1.5);
}

// Guards against a misspelt key or a repeated id that is taken for a working set-up.
TEST(StandinSettingsTest, UnknownKeysAndRepeatedIdsAreErrors) {
  const std::string runner = "[[runner]]\nid = \"u1\"\ndomain = \"d1\"\naddress = \"127.0.0.1:0\"\n";
  EXPECT_TRUE(Read("serve_platform = false\n" + runner));
  EXPECT_FALSE(Read("serve_platform = false\n" + runner + runner));
  EXPECT_FALSE(Read("serve_platform = false\n" + runner + "slot = 4\n"));
  EXPECT_EQ(Read("serve_platform = false\nthreads = 0\n").error().path, "standin.toml:2: threads");
}

}  // namespace
}  // namespace jaymast
