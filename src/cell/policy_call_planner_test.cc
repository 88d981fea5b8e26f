#include "cell/policy_call_planner.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <random>
#include <vector>

namespace jaymast {
namespace {

using Need = PolicyCallPlanner::Need;
using Offer = PolicyCallPlanner::Offer;

/// Gang of 20 tasks whose calls take 455 ms and 6.5 ms for each upstream.
Need GangNeed(double allowed_share) { return {20, 20, 455, 6.5, allowed_share, 1}; }

std::vector<Offer> MakeOffers(std::size_t count, std::int64_t slots, bool is_allowed) {
  return std::vector<Offer>(count, Offer{slots, is_allowed});
}

// Guards against calls for gangs that too little free capacity can hold at the share that the policy allows.
TEST(PolicyCallPlannerTest, GangNeedsExpectedCapacityForAll) {
  EXPECT_FALSE(PolicyCallPlanner::CanStart(GangNeed(0.5), MakeOffers(30, 1, false)));
  EXPECT_TRUE(PolicyCallPlanner::CanStart(GangNeed(0.5), MakeOffers(40, 1, false)));
  EXPECT_TRUE(PolicyCallPlanner::CanStart(GangNeed(0.5), MakeOffers(20, 1, true)));
}

// Guards against parallel calls of many gangs for the same free capacity, of which all but one are in vain.
TEST(PolicyCallPlannerTest, CapacityThatOthersExpectDoesNotCount) {
  Need need = GangNeed(0.5);
  need.free_share = 0.5;
  EXPECT_FALSE(PolicyCallPlanner::CanStart(need, MakeOffers(60, 1, false)));
  EXPECT_TRUE(PolicyCallPlanner::CanStart(need, MakeOffers(80, 1, false)));
}

// Guards against steps of single tasks that get no call because less than all of them could start.
TEST(PolicyCallPlannerTest, SingleTasksMayStartOneByOne) {
  const Need need{25, 1, 169, 2.3, 0.35, 1};
  EXPECT_TRUE(PolicyCallPlanner::CanStart(need, MakeOffers(1, 1, false)));
  EXPECT_FALSE(PolicyCallPlanner::CanStart(need, {}));
}

// Guards against calls that name more upstreams than needed, which keep an instance busy, and against calls that name
// too few, which take a second call of the same fixed duration.
TEST(PolicyCallPlannerTest, NamesAsManyAsHoldAllTasksWithGoodProbability) {
  for (const double share : {0.35, 0.5, 0.7}) {
    const std::size_t count = PolicyCallPlanner::CountToName(GangNeed(share), MakeOffers(350, 1, false));
    std::mt19937 random(1);
    int sufficient = 0;
    constexpr int kTrials = 2000;
    for (int i = 0; i < kTrials; ++i) {
      std::binomial_distribution<int> allowed(static_cast<int>(count), share);
      sufficient += allowed(random) >= 20 ? 1 : 0;
    }
    EXPECT_GT(sufficient, kTrials * 9 / 10) << share;
    EXPECT_LE(static_cast<double>(count), 2.2 * 20 / share) << share;
  }
  EXPECT_LE(PolicyCallPlanner::CountToName({3, 1, 14.3, 0.21, 0.5, 1}, MakeOffers(350, 3, false)), 10U);
}

// Guards against calls that name more upstreams than the service accepts.
TEST(PolicyCallPlannerTest, NamesAtMostTheLimitOfTheService) {
  Need need = GangNeed(0.35);
  need.slots = 1000;
  EXPECT_EQ(PolicyCallPlanner::CountToName(need, MakeOffers(350, 1, false)), PolicyCallPlanner::kMaxUpstreams);
  EXPECT_EQ(PolicyCallPlanner::CountToName(need, {}), 0U);
}

// Guards against a margin for upstreams whose decision is known, which need none but for capacity that is lost.
TEST(PolicyCallPlannerTest, NamesFewerIfTheyAreKnownToBeAllowed) {
  const Need need = GangNeed(0.5);
  EXPECT_LT(PolicyCallPlanner::CountToName(need, MakeOffers(350, 1, true)),
            PolicyCallPlanner::CountToName(need, MakeOffers(350, 1, false)) * 3 / 4);
}

// Guards against renewals, which name allowed upstreams only, that teach a share of 1.
TEST(PolicyCallPlannerTest, LearnsShareFromNewDecisionsOnly) {
  PolicyCallPlanner planner;
  const QueueId queue("gangs");
  for (int i = 0; i < 100; ++i) planner.OnReply(queue, 20, 12);
  EXPECT_NEAR(planner.AllowedShare(queue), 0.6, 0.01);
  for (int i = 0; i < 100; ++i) planner.OnReply(queue, 0, 0);
  EXPECT_NEAR(planner.AllowedShare(queue), 0.6, 0.01);
  for (int i = 0; i < 100; ++i) planner.OnReply(queue, 20, 0);
  EXPECT_GT(planner.AllowedShare(queue), 0);
}

// Guards against steps that renew their tickets without bound although no task gets an upstream, and against a pause
// that leaves a step idle for 3 s.
TEST(PolicyCallPlannerTest, RenewalsAreBoundedByUse) {
  EXPECT_EQ(PolicyCallPlanner::RenewalDelay(0), PolicyCallPlanner::RenewalDelay(2));
  EXPECT_GT(PolicyCallPlanner::RenewalDelay(3), PolicyCallPlanner::RenewalDelay(2));
  EXPECT_LE(PolicyCallPlanner::RenewalDelay(1000), std::chrono::seconds(1));
}

// Guards against admission that expects no wait while calls queue, or a wait while instances are free.
TEST(PolicyCallPlannerTest, ExpectedWaitGrowsWithQueuedCalls) {
  PolicyCallPlanner planner;
  EXPECT_EQ(planner.ExpectedWait(455), Duration::zero());
  planner.SetLoad(28, {0, 28 * 600.0});
  EXPECT_GE(planner.ExpectedWait(455), Duration(600'000));
  EXPECT_LT(planner.ExpectedWait(455), Duration(1'000'000));
  // Urgent steps have short calls, for which instances are reserved.
  EXPECT_EQ(planner.ExpectedWait(14.3), Duration::zero());
  planner.SetLoad(0, {0, 100});
  EXPECT_GT(planner.ExpectedWait(455), Duration::zero());
  planner.SetLoad(28, {});
  EXPECT_EQ(planner.ExpectedWait(455), Duration::zero());
}

// Guards against an expected duration of a call without the part for each upstream.
TEST(PolicyCallPlannerTest, ExpectedCallCountsUpstreams) {
  PolicyCallPlanner planner;
  const QueueId queue("gangs");
  const PolicyConfig policy{455, 6.5, 2500};
  EXPECT_NEAR(planner.ExpectedCallMs(queue, policy, 20), 455 + 6.5 * 20 / planner.AllowedShare(queue), 1);
  EXPECT_NEAR(planner.ExpectedCallMs(queue, policy, 10'000), 455 + 6.5 * 100, 1);
}

}  // namespace
}  // namespace jaymast
