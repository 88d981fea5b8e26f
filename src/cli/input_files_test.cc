#include "cli/input_files.h"

#include <gtest/gtest.h>

#include <string>
#include <variant>

namespace jaymast {
namespace {

std::string IntentError(const std::string& text) {
  const Result<LocatedDocument> document = LocatedDocument::Parse(text, "cell.toml");
  const Error error = document ? IntentsFromDocument(*document).error() : document.error();
  return error.path + ": " + error.reason;
}

TEST(InputFilesTest, IntentsOfEachKindAreRead) {
  const Result<LocatedDocument> document = LocatedDocument::Parse(R"(
[[intent]]
type = "set_team"
team = "desk"
share = 3
limit = 100

[[intent]]
type = "domain_out"
domain = "lahti"

[[intent]]
type = "run"
replicas = 2
task = { team = "desk", kind = "load-check", class = "gang", demand = { cpu_millis = 500 } }
)",
                                                                  "cell.toml");
  ASSERT_TRUE(document) << document.error().reason;
  const auto intents = IntentsFromDocument(*document);
  ASSERT_TRUE(intents) << intents.error().reason;
  ASSERT_EQ(intents->size(), 3U);
  EXPECT_EQ(std::get<SetTeamIntent>((*intents)[0]).value, (Team{3, 100}));
  EXPECT_TRUE(std::get<SetDomainIntent>((*intents)[1]).out_of_service);
  EXPECT_EQ(std::get<RunIntent>((*intents)[2]).spec.demand.cpu_millis, 500);
}

// Guards against an error message that does not lead the operator to the offending line and key.
TEST(InputFilesTest, ErrorsNameFileLineAndKey) {
  EXPECT_EQ(IntentError("[[intent]]\ntype = \"set_team\"\nteam = \"desk\"\nlimit = -1\n"),
            "cell.toml:4: intent[0].limit: expected a whole number from 0 to 1000000");
  EXPECT_EQ(IntentError("[[intent]]\ntype = \"domain_out\"\n"),
            "cell.toml:1: intent[0].domain: required and not empty");
  EXPECT_EQ(IntentError("[[intent]]\ntype = \"domain_in\"\ndomain = \"a\"\n\n[[intent]]\ntype = \"stop\"\n"),
            "cell.toml:6: intent[1].type: unknown intent 'stop'");
  EXPECT_EQ(IntentError("[[intent]]\ntype = \"run\"\n[intent.task]\nteam = \"a\"\ndemand = { cpus = 1 }\n"),
            "cell.toml:5: intent[0].task.demand.cpus: unknown field");
  EXPECT_EQ(IntentError("[[intent]]\ntype = \"domain_in\"\ndomain = 2026-01-01\n"),
            "cell.toml:3: intent[0].domain: dates and times are not supported");
  EXPECT_EQ(IntentError("[[intents]]\n"), "cell.toml: intent: expected at least one [[intent]] table");
  EXPECT_EQ(IntentError("[[intent]]\ntype = \n").substr(0, 12), "cell.toml:2:");
}

TEST(InputFilesTest, TasksAreReadFromTomlAndJson) {
  const auto toml = LocatedDocument::Parse("[[task]]\nteam = \"desk\"\nkind = \"render\"\n", "t.toml");
  const auto json = LocatedDocument::Parse(R"({"task":[{"team":"desk","kind":"render"}]})", "t.json");
  ASSERT_TRUE(toml && json);
  const auto from_toml = TasksFromDocument(*toml);
  const auto from_json = TasksFromDocument(*json);
  ASSERT_TRUE(from_toml && from_json);
  EXPECT_EQ(*from_toml, *from_json);
  const auto bad = LocatedDocument::Parse(R"({"task":[{"class":"x"}]})", "t.json");
  EXPECT_EQ(TasksFromDocument(*bad).error().path, "t.json: task[0].class");
}

}  // namespace
}  // namespace jaymast
