#include "runtime/toml_reader.h"

#include <gtest/gtest.h>

namespace jaymast {
namespace {

constexpr std::string_view kText = R"(name = "a"
count = 12
[net]
port = 99999
hosts = ["x", "y"]
[net.deep]
flag = true
[[pool]]
size = 1
[[pool]]
size = 2
)";

TomlReader Reader() { return *TomlReader::ReadText(kText, "f.toml"); }

TEST(TomlReaderTest, ReadsValuesAndDefaults) {
  TomlReader reader = Reader();
  EXPECT_EQ(reader.RequiredString("name"), "a");
  EXPECT_EQ(reader.Int("count", 1, 0, 100), 12);
  EXPECT_EQ(reader.Int("absent", 7, 0, 100), 7);
  TomlReader net = reader.Table("net");
  EXPECT_EQ(net.Int("port", 0, 0, 100'000), 99999);
  EXPECT_EQ(net.Strings("hosts"), (std::vector<std::string>{"x", "y"}));
  EXPECT_TRUE(net.Table("deep").Bool("flag", false));
  EXPECT_EQ(reader.Table("no-such-table").String("key", "fallback"), "fallback");
  std::vector<TomlReader> pools = reader.Tables("pool");
  ASSERT_EQ(pools.size(), 2U);
  EXPECT_EQ(pools[1].Int("size", 0, 0, 9), 2);
  EXPECT_EQ(pools[0].Int("size", 0, 0, 9), 1);
  EXPECT_FALSE(reader.Finish());
}

TEST(TomlReaderTest, RangeErrorNamesFileLineKeyAndRange) {
  TomlReader reader = Reader();
  TomlReader net = reader.Table("net");
  net.Int("port", 0, 1, 65535);
  const std::optional<Error> error = reader.Finish();
  ASSERT_TRUE(error);
  EXPECT_EQ(error->path, "f.toml:4: net.port");
  EXPECT_EQ(error->reason, "expected a whole number from 1 to 65535");
}

TEST(TomlReaderTest, UnknownKeyIsAnErrorAtAnyDepth) {
  TomlReader reader = Reader();
  reader.String("name", "");
  reader.Int("count", 0, 0, 100);
  TomlReader net = reader.Table("net");
  net.Int("port", 0, 0, 100'000);
  net.Strings("hosts");
  net.Table("deep");
  for (TomlReader& pool : reader.Tables("pool")) pool.Int("size", 0, 0, 9);
  const std::optional<Error> error = reader.Finish();
  ASSERT_TRUE(error);
  EXPECT_EQ(error->path, "f.toml:7: net.deep.flag");
  EXPECT_EQ(error->reason, "unknown key");
}

TEST(TomlReaderTest, RequiredKeyAndWrongTypeAreErrors) {
  TomlReader required = Reader();
  required.Table("net").RequiredString("address");
  EXPECT_EQ(required.Finish()->path, "f.toml:3: net.address");
  TomlReader type = Reader();
  type.String("count", "");
  EXPECT_EQ(type.Finish()->path, "f.toml:2: count");
  EXPECT_EQ(type.Finish()->reason, "expected a string");
}

TEST(TomlReaderTest, SyntaxErrorNamesFileAndLine) {
  const Result<TomlReader> reader = TomlReader::ReadText("a = 1\nb = = 2\n", "f.toml");
  ASSERT_FALSE(reader);
  EXPECT_EQ(reader.error().path, "f.toml:2");
}

}  // namespace
}  // namespace jaymast
