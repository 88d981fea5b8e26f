#include "cli/plan_text.h"

#include <gtest/gtest.h>

#include <string>

#include "cli/view_text.h"
#include "model/codec.h"

namespace jaymast {
namespace {

Plan SamplePlan() {
  Plan plan;
  plan.id = PlanId("p-7");
  plan.base_version = 12;
  plan.intents = {SetTeamIntent{TeamId("desk"), Team{3, 100}}, SetDomainIntent{DomainId("lahti"), true}};
  plan.starts = {"web-1 in turku"};
  plan.moves = {"check-4 from lahti", "check-5 from lahti"};
  plan.refusals = {"gang-2: no failure domain has 4 accelerators"};
  plan.capacity[DomainId("turku")] = Resources{64000, 262144, 2, 16};
  plan.capacity[DomainId("lahti")] = Resources{};
  plan.headroom[TeamId("desk")] = 93;
  plan.headroom[TeamId("quiltworks")] = -2;
  return plan;
}

TEST(PlanTextTest, PlanIsShownAsADiff) {
  EXPECT_EQ(FormatPlan(ToJson(SamplePlan()), Palette(false)), R"(Plan p-7, made from configuration version 12

Changes (2)
  * set_team team=desk share=3 limit=100
  * domain_out domain=lahti

Starts (1)
  + web-1 in turku

Moves (2)
  ~ check-4 from lahti
  ~ check-5 from lahti

Refusals (1)
  ! gang-2: no failure domain has 4 accelerators

Capacity per failure domain afterwards
  DOMAIN  CPU_MILLIS  MEMORY_MB  ACCELERATORS  SLOTS
  lahti   0           0          0             0
  turku   64000       262144     2             16

Headroom per team afterwards, in tasks
  TEAM        HEADROOM
  desk        93
  quiltworks  -2
)");
}

// Guards against colours in files and pipes, and against a colour that is not switched off again.
TEST(PlanTextTest, ColoursAreOptionalAndClosed) {
  EXPECT_EQ(Palette(false).Paint(Tone::kAdded, "x"), "x");
  EXPECT_EQ(Palette(true).Paint(Tone::kAdded, "x"), "\x1b[32mx\x1b[0m");
}

std::string View(const std::string& text) { return FormatView(*ParseObject(text, "")); }

TEST(ViewTextTest, AnArrayOfObjectsBecomesATable) {
  EXPECT_EQ(View(R"({"teams":[{"team":"desk","running":3},{"team":"quiltworks","running":12,"note":"\u00e4\tb"}]})"),
            "TEAM        RUNNING  NOTE\n"
            "desk        3\n"
            "quiltworks  12       \u00e4 b\n");
}

TEST(ViewTextTest, SingleValuesAndSeveralTablesHaveHeadings) {
  EXPECT_EQ(
      View(R"({"version":3,"accepted":true,"pending":[],"entries":[{"id":"e1","free":{"slots":2}}],"tags":["a"]})"),
      "version: 3\naccepted: true\ntags: a\n\npending\n(none)\n\nentries\nID  FREE\ne1  slots=2\n");
}

// Guards against terminal control sequences in names that other people chose.
TEST(ViewTextTest, ControlCharactersAreReplaced) {
  EXPECT_EQ(View(R"({"tasks":[{"id":"a\u001b[31mb"}]})"), "ID\na [31mb\n");
}

}  // namespace
}  // namespace jaymast
