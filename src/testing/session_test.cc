#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

#include "testing/session_file.h"
#include "testing/session_script.h"

namespace jaymast {
namespace {

namespace fs = std::filesystem;

std::vector<fs::path> SessionFiles() {
  std::vector<fs::path> files;
  for (const auto& entry : fs::directory_iterator(fs::path(JAYMAST_SOURCE_DIR) / "sessions")) {
    if (entry.path().extension() == ".session") files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  return files;
}

std::string NameOf(const testing::TestParamInfo<fs::path>& info) {
  std::string name = info.param.stem().string();
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
}

class SessionTest : public testing::TestWithParam<fs::path> {};

// Guards against any change of behaviour that nobody looked at. `jaymast-session --update` rewrites a golden file.
TEST_P(SessionTest, MatchesGoldenFileAndKeepsGuarantees) {
  const Result<SessionOutcome> outcome = PlaySessionFile(GetParam());
  ASSERT_TRUE(outcome) << outcome.error().path << ": " << outcome.error().reason;
  for (const std::string& failure : outcome->failures) ADD_FAILURE() << failure;
  const std::optional<std::string> golden = ReadFile(GoldenFileOf(GetParam()));
  ASSERT_TRUE(golden) << "no golden file";
  const auto [expected, actual] =
      std::mismatch(golden->begin(), golden->end(), outcome->output.begin(), outcome->output.end());
  EXPECT_EQ(*golden == outcome->output, true)
      << "first difference in line " << 1 + std::count(golden->begin(), expected, '\n');
}

// Guards against state outside the session, for example iteration order that depends on addresses.
TEST_P(SessionTest, GivesTheSameBytesTwice) {
  const Result<SessionOutcome> first = PlaySessionFile(GetParam());
  const Result<SessionOutcome> second = PlaySessionFile(GetParam());
  ASSERT_TRUE(first && second);
  EXPECT_EQ(first->output == second->output, true);
}

INSTANTIATE_TEST_SUITE_P(Sessions, SessionTest, testing::ValuesIn(SessionFiles()), NameOf);

// Guards against a typing error in a session file that is skipped silently.
TEST(SessionScriptTest, ReportsBadLines) {
  EXPECT_EQ(PlaySessionText("0 entyr e1").error().reason, "unknown verb entyr");
  EXPECT_EQ(PlaySessionText("# comment\n\nsoon run-until").error().path, "line 3");
}

// Guards against commands that run in the order of the file instead of their times.
TEST(SessionScriptTest, OrdersCommandsByTime) {
  const Result<std::vector<SessionCommand>> commands = ParseSession("20 kill e1\n10 kill e2\n10 kill e3 after 5\n");
  ASSERT_TRUE(commands);
  ASSERT_EQ(commands->size(), 3U);
  EXPECT_EQ((*commands)[0].Word(0), "e2");
  EXPECT_EQ((*commands)[1].Number("after", 0), 5);
  EXPECT_EQ((*commands)[2].Word(0), "e1");
}

}  // namespace
}  // namespace jaymast
