#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <sstream>
#include <string>

#include "base/hash.h"
#include "cli/cli_test_client.h"
#include "cli/command_context.h"
#include "cli/domain_commands.h"
#include "cli/key_commands.h"
#include "cli/plan_commands.h"
#include "cli/task_commands.h"
#include "cli/view_commands.h"

namespace jaymast {
namespace {

namespace json = boost::json;

constexpr char kPlan[] = R"({"id":"p1","base_version":4,"intents":[]})";
constexpr char kNewPlan[] = R"({"id":"p2","base_version":5,"intents":[]})";
constexpr char kConflict[] = R"({"type":"jaymast.plan.conflict","detail":"version 5","path":"p1","verdict":"not_run"})";

class CommandsTest : public testing::Test {
 protected:
  void Input(const std::string& text) { m_in.str(text); }
  const std::string& Body(std::size_t call) const { return m_client.calls.at(call).body; }

  std::istringstream m_in;
  std::ostringstream m_out;
  std::ostringstream m_err;
  ScriptedClient m_client;
  std::chrono::milliseconds m_slept{0};
  CommandContext m_context{.api = m_client,
                           .in = m_in,
                           .out = m_out,
                           .err = m_err,
                           .palette = Palette(false),
                           .output = OutputFormat::kTable,
                           .assume_yes = false,
                           .random_hex = [] { return std::string(64, 'a'); },
                           .sleep = [this](std::chrono::milliseconds time) { m_slept += time; }};
  std::vector<Intent> m_intents = {RemoveTeamIntent{TeamId("desk")}};
};

TEST_F(CommandsTest, ApplyConfirmsOnlyAfterAYes) {
  Input("n\n");
  m_client.Answer(200, kPlan);
  EXPECT_EQ(RunApply(m_context, m_intents), ExitCode::kNotConfirmed);
  EXPECT_EQ(m_client.calls.size(), 1U);
  m_in.clear();
  Input("yes\n");
  m_client.Answer(200, kPlan);
  m_client.Answer(200, R"({"version":5})");
  EXPECT_EQ(RunApply(m_context, m_intents), ExitCode::kSuccess);
  EXPECT_EQ(m_client.calls.at(2).target, "/v1/plans/p1/confirm");
  EXPECT_EQ(Body(2), R"({"base_version":4})");
}

// Guards against an operator's script that confirms a plan which nobody has seen.
TEST_F(CommandsTest, AConflictShowsTheNewPlanAndYesDoesNotConfirmIt) {
  m_context.assume_yes = true;
  m_client.Answer(200, kPlan);
  m_client.Answer(409, kConflict);
  m_client.Answer(200, kNewPlan);
  EXPECT_EQ(RunApply(m_context, m_intents), ExitCode::kConflict);
  EXPECT_NE(m_out.str().find("Plan p2, made from configuration version 5"), std::string::npos);
  EXPECT_EQ(m_client.calls.size(), 3U);
}

TEST_F(CommandsTest, AfterAConflictTheOperatorIsAskedAgain) {
  Input("y\ny\n");
  m_client.Answer(200, kPlan);
  m_client.Answer(409, kConflict);
  m_client.Answer(200, kNewPlan);
  m_client.Answer(200, "{}");
  EXPECT_EQ(RunApply(m_context, m_intents), ExitCode::kSuccess);
  EXPECT_EQ(m_client.calls.at(3).target, "/v1/plans/p2/confirm");
}

// Guards against a secret that leaves the machine, or that is shown for a key that was not given.
TEST_F(CommandsTest, KeysGiveSendsOnlyTheHash) {
  Input("y\n");
  m_client.Answer(200, kPlan);
  m_client.Answer(200, "{}");
  EXPECT_EQ(RunKeysGive(m_context, "k1", "desk", Role::kSubmitter), ExitCode::kSuccess);
  const std::string secret(64, 'a');
  EXPECT_NE(Body(0).find(Sha256Hex(secret)), std::string::npos);
  for (const ApiCall& call : m_client.calls) EXPECT_EQ(call.body.find(secret), std::string::npos);
  EXPECT_TRUE(m_out.str().ends_with(secret + "\n"));
  m_out.str("");
  Input("n\n");
  m_client.Answer(200, kPlan);
  EXPECT_EQ(RunKeysGive(m_context, "k1", "desk", Role::kSubmitter), ExitCode::kNotConfirmed);
  EXPECT_EQ(m_out.str().find(secret), std::string::npos);
}

TEST_F(CommandsTest, DrainReportsProgressUntilNothingRuns) {
  const char* busy = R"({"upstreams":[{"id":"u1","domain":"lahti","tasks":2},{"id":"u2","domain":"lahti","tasks":1}]})";
  const char* idle = R"({"upstreams":[{"id":"u1","domain":"lahti","tasks":0},{"id":"u2","domain":"lahti","tasks":0}]})";
  m_context.assume_yes = true;
  m_client.Answer(200, busy);
  m_client.Answer(200, kPlan);
  m_client.Answer(200, "{}");
  m_client.Answer(200, busy);
  m_client.Answer(200, idle);
  EXPECT_EQ(RunDrain(m_context, "lahti", std::chrono::minutes(1)), ExitCode::kSuccess);
  EXPECT_NE(Body(1).find(R"("type":"domain_out")"), std::string::npos);
  EXPECT_EQ(m_err.str(), "lahti: 3 tasks running\nlahti: 0 tasks running\n");
  m_client.Answer(200, idle);
  EXPECT_EQ(RunDrain(m_context, "nowhere", std::chrono::minutes(1)), ExitCode::kInput);
}

// Guards against a drain that seems complete although no owner reported its tasks.
TEST_F(CommandsTest, AnUpstreamWithoutAReportIsNotDrained) {
  const DrainTarget target{DrainKind::kDomain, "lahti"};
  const json::object other = json::parse(R"({"upstreams":[{"id":"u1","domain":"lahti"}]})").as_object();
  const json::object owner = json::parse(R"({"upstreams":[{"id":"u1","domain":"lahti","tasks":2}]})").as_object();
  EXPECT_EQ(ProgressOf(target, {other})->unreported, 1);
  EXPECT_EQ(ProgressOf(target, {other, owner, other})->unreported, 0);
  EXPECT_EQ(ProgressOf(target, {other, owner, other})->running, 2);
  EXPECT_FALSE(ProgressOf(DrainTarget{DrainKind::kDomain, "turku"}, {other}));
}

// Guards against a change that is reported as done while an entry still works under the old configuration.
TEST_F(CommandsTest, AChangeThatIsNotInForceEverywhereIsATimeout) {
  m_client.Answer(202, R"({"accepted":false,"version":5,"not_in_force":[{"entry":"e2","domain":"turku"}]})");
  EXPECT_EQ(RunConfirm(m_context, "p1", 4), ExitCode::kTimeout);
  EXPECT_NE(m_out.str().find("e2     turku"), std::string::npos);
}

TEST_F(CommandsTest, DrainEndsWhenPatienceIsUsedUp) {
  m_context.assume_yes = true;
  const char* busy = R"({"upstreams":[{"id":"u1","domain":"lahti","tasks":2}]})";
  m_client.Answer(200, busy);
  m_client.Answer(200, kPlan);
  m_client.Answer(200, "{}");
  for (int i = 0; i < 3; ++i) m_client.Answer(200, busy);
  EXPECT_EQ(RunDrain(m_context, "u1", std::chrono::seconds(2)), ExitCode::kTimeout);
  EXPECT_EQ(m_slept, std::chrono::seconds(2));
}

// Guards against a repeated submission that runs an order twice.
TEST_F(CommandsTest, AnUnknownOutcomeTellsHowToRepeatSafely) {
  m_client.Fail(ErrorId::kOutcomeUnknown);
  TaskSpec spec;
  spec.team = TeamId("desk");
  EXPECT_EQ(RunSubmit(m_context, {spec}, SubmitOptions{}), ExitCode::kOutcomeUnknown);
  EXPECT_NE(Body(0).find(R"("idempotency_key":"aaaaaaaaaaaaaaaa-1")"), std::string::npos);
  EXPECT_NE(m_err.str().find("--idempotency-key aaaaaaaaaaaaaaaa\n"), std::string::npos);
}

TEST_F(CommandsTest, ExitCodesFollowTheAnswer) {
  m_client.Answer(403, R"({"type":"jaymast.key.role","detail":"operators only","path":"","verdict":"not_run"})");
  EXPECT_EQ(RunView(m_context, "keys"), ExitCode::kNotAuthorized);
  EXPECT_EQ(m_err.str(), "error: jaymast.key.role: operators only (not run)\n");
  m_client.Answer(500, R"({"type":"jaymast.future.id","verdict":"not_run"})");
  EXPECT_EQ(RunView(m_context, "teams"), ExitCode::kRefused);
  m_client.Answer(502, "bad gateway");
  EXPECT_EQ(RunView(m_context, "teams"), ExitCode::kOutcomeUnknown);
  m_client.Answer(200, R"({"tasks":[{"id":"t1","state":"failed"}]})");
  EXPECT_EQ(RunTaskStatus(m_context, "a/b", std::chrono::seconds(1)), ExitCode::kTaskFailed);
  EXPECT_EQ(m_client.calls.back().target, "/v1/tasks/a%2Fb?wait_ms=1000");
}

}  // namespace
}  // namespace jaymast
