#include "tasks/submission_gangs.h"

#include <gtest/gtest.h>

#include <string>

namespace jaymast {
namespace {

TaskSpec Task(WorkClass work_class, const std::string& gang = "") {
  TaskSpec spec;
  spec.work_class = work_class;
  spec.gang = GangId(gang);
  return spec;
}

std::function<GangId()> Numbered() {
  return [last = 0]() mutable { return GangId("g" + std::to_string(++last)); };
}

// Guards against a gang that waits forever because other tasks of the request were counted as members.
TEST(SubmissionGangsTest, CountsOnlyMembers) {
  std::vector<TaskSpec> specs = {Task(WorkClass::kBatch), Task(WorkClass::kGang, "a"), Task(WorkClass::kService),
                                 Task(WorkClass::kGang, "a")};
  AssignGangs(specs, Numbered());
  EXPECT_EQ(specs[1].gang, GangId("g1"));
  EXPECT_EQ(specs[3].gang, GangId("g1"));
  EXPECT_EQ(specs[1].gang_size, 2);
  EXPECT_EQ(specs[3].gang_size, 2);
  EXPECT_TRUE(specs[0].gang.empty());
  EXPECT_EQ(specs[2].gang_size, 0);
}

// Guards against two gangs of one request that are placed as one and need capacity for both at once.
TEST(SubmissionGangsTest, AssignsOneIdPerGang) {
  std::vector<TaskSpec> specs = {Task(WorkClass::kGang, "a"), Task(WorkClass::kGang, "b"), Task(WorkClass::kGang),
                                 Task(WorkClass::kGang, "b"), Task(WorkClass::kGang)};
  AssignGangs(specs, Numbered());
  EXPECT_EQ(specs[0].gang, GangId("g1"));
  EXPECT_EQ(specs[1].gang, specs[3].gang);
  EXPECT_EQ(specs[2].gang, specs[4].gang);
  EXPECT_NE(specs[1].gang, specs[2].gang);
  EXPECT_EQ(specs[0].gang_size, 1);
  EXPECT_EQ(specs[3].gang_size, 2);
  EXPECT_EQ(specs[4].gang_size, 2);
}

}  // namespace
}  // namespace jaymast
