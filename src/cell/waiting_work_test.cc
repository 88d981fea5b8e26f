#include "cell/waiting_work.h"

#include <gtest/gtest.h>

namespace jaymast {
namespace {

const ServiceId kService("render");
const TeamId kTeam("a");

// Guards against jobs of low priority that delay the admission of urgent ones.
TEST(WaitingWorkTest, SumsWorkOfEqualAndHigherPriority) {
  WaitingWork work;
  work.Add(kService, kTeam, 0, WaitCause::kCores, {10, 20, 0, 0});
  work.Add(kService, kTeam, 1, WaitCause::kCores, {1, 2, 0, 0});
  work.Add(kService, kTeam, 2, WaitCause::kCores, {100, 200, 0, 0});
  EXPECT_DOUBLE_EQ(work.Sum(kService, 0, WaitCause::kCores).core_s, 20);
  EXPECT_DOUBLE_EQ(work.Sum(kService, 1, WaitCause::kCores).core_s, 22);
  EXPECT_DOUBLE_EQ(work.Sum(kService, 1, WaitCause::kCores).cores, 11);
  EXPECT_DOUBLE_EQ(work.Total(WaitCause::kCores).core_s, 222);
}

// Guards against a queue for cores that contains work which waits for something else or for other upstreams.
TEST(WaitingWorkTest, KeepsCausesAndServicesApart) {
  WaitingWork work;
  work.Add(kService, kTeam, 0, WaitCause::kTicket, {10, 20, 450, 0});
  work.Add(ServiceId("encode"), kTeam, 0, WaitCause::kCores, {10, 20, 0, 0});
  EXPECT_DOUBLE_EQ(work.Sum(kService, 0, WaitCause::kCores).core_s, 0);
  EXPECT_DOUBLE_EQ(work.Sum(kService, 0, WaitCause::kTicket).call_ms, 450);
  work.Clear();
  EXPECT_DOUBLE_EQ(work.Total(WaitCause::kTicket).cores, 0);
}

// Guards against one organisation at its limit that makes all others wait.
TEST(WaitingWorkTest, CountsWorkAtLimitForItsOwnOrganisation) {
  WaitingWork work;
  work.Add(kService, kTeam, 1, WaitCause::kTeamLimit, {10, 20, 0, 4});
  EXPECT_DOUBLE_EQ(work.TeamQueueSeconds(kTeam, 1), 4);
  EXPECT_DOUBLE_EQ(work.TeamQueueSeconds(kTeam, 0), 0);
  EXPECT_DOUBLE_EQ(work.TeamQueueSeconds(TeamId("b"), 1), 0);
  EXPECT_DOUBLE_EQ(work.Sum(kService, 1, WaitCause::kCores).core_s, 0);
}

}  // namespace
}  // namespace jaymast
