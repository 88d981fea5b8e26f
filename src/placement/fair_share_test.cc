#include "placement/fair_share.h"

#include <gtest/gtest.h>

#include <chrono>
#include <random>
#include <set>
#include <string>

namespace jaymast {
namespace {

constexpr Time kStart = TimeFromMicros(1'000'000);
constexpr Resources kCapacity{100'000, 200'000, 40, 400};

TeamId Team(int number) { return TeamId("t" + std::to_string(number)); }

/// Guards against unallocated capacity while demand is unmet, and against entitlements above capacity.
TEST(FairShareTest, EntitledSharesSumToCapacityAtSaturation) {
  std::mt19937_64 random(5);
  for (int round = 0; round < 200; ++round) {
    FairShare shares;
    shares.SetCapacity(kCapacity);
    std::map<TeamId, Resources> demand;
    for (int i = 0; i < 20; ++i) {
      shares.SetWeight(Team(i), 1 + static_cast<std::int64_t>(random() % 9));
      const auto tasks = static_cast<std::int64_t>(20 + random() % 200);
      demand[Team(i)] = {tasks * static_cast<std::int64_t>(random() % 500), tasks * 500, 0, tasks};
    }
    Resources total;
    for (const auto& [team, entitled] : shares.ComputeEntitlements(demand)) {
      EXPECT_TRUE(entitled.amount.FitsIn(demand[team]));
      total += entitled.amount;
    }
    EXPECT_TRUE(total.FitsIn(kCapacity));
    const double filled =
        std::max({static_cast<double>(total.cpu_millis) / 100'000.0, static_cast<double>(total.memory_mb) / 200'000.0,
                  static_cast<double>(total.slots) / 400.0});
    EXPECT_GT(filled, 0.99);
  }
}

TEST(FairShareTest, EntitledSharesFollowWeightsAndRedistributeUnusedShare) {
  FairShare shares;
  shares.SetCapacity({0, 0, 0, 100});
  shares.SetWeight(Team(0), 1);
  shares.SetWeight(Team(1), 3);
  const Resources much{0, 0, 0, 1'000};
  auto entitled = shares.ComputeEntitlements({{Team(0), much}, {Team(1), much}});
  EXPECT_NEAR(entitled[Team(0)].dominant_share, 0.25, 1e-9);
  EXPECT_NEAR(entitled[Team(1)].dominant_share, 0.75, 1e-9);
  entitled = shares.ComputeEntitlements({{Team(0), much}, {Team(1), {0, 0, 0, 10}}});
  EXPECT_NEAR(entitled[Team(0)].dominant_share, 0.9, 1e-9);
  EXPECT_NEAR(entitled[Team(1)].dominant_share, 0.1, 1e-9);
}

/// The example of the dominant-resource fairness paper: 9 processors and 18 GB, demands of (1, 4) and (3, 1).
TEST(FairShareTest, DominantSharesAreEqualized) {
  FairShare shares;
  shares.SetCapacity({9'000, 18'000, 0, 0});
  const auto entitled =
      shares.ComputeEntitlements({{Team(0), {100'000, 400'000, 0, 0}}, {Team(1), {300'000, 100'000, 0, 0}}});
  EXPECT_NEAR(entitled.at(Team(0)).dominant_share, 2.0 / 3, 1e-6);
  EXPECT_NEAR(entitled.at(Team(1)).dominant_share, 2.0 / 3, 1e-6);
}

TEST(FairShareTest, ScoreDecaysAndFollowsReports) {
  FairShare shares;
  shares.SetCapacity({0, 1'000, 0, 100});
  shares.SetWeight(Team(0), 2);
  EXPECT_EQ(shares.Score(Team(0), kStart), 0);
  shares.AddUsage(Team(0), {0, 500, 0, 1}, kStart);
  const double at_start = shares.Score(Team(0), kStart);
  EXPECT_GT(at_start, 0);
  const Time later = kStart + std::chrono::minutes(50);
  EXPECT_NEAR(shares.Score(Team(0), later), 0.25, 0.001);
  shares.ReportUsage(Team(0), {0, 100, 0, 1}, later);
  EXPECT_NEAR(shares.Score(Team(0), later + std::chrono::minutes(50)), 0.05, 0.001);
  shares.RemoveUsage(Team(0), {0, 500, 0, 1}, later);
  EXPECT_NEAR(shares.Score(Team(0), later + std::chrono::minutes(50)), 0, 0.001);
}

/// Guards against victims from teams within their share, victims that cannot be checkpointed, and unneeded checkpoints.
TEST(FairShareTest, VictimsComeOnlyFromTeamsOverTheirShare) {
  std::mt19937_64 random(9);
  int chosen_rounds = 0;
  for (int round = 0; round < 300; ++round) {
    FairShare shares;
    shares.SetCapacity({0, 0, 0, 64});
    std::vector<PreemptionCandidate> candidates;
    std::map<TeamId, Resources> demand;
    for (int i = 0; i < 64; ++i) {
      const TeamId team = Team(static_cast<int>(random() % 3 + random() % 2));
      shares.AddUsage(team, {0, 0, 0, 1}, kStart);
      demand[team] += {0, 0, 0, 1};
      candidates.push_back({{TaskId(std::to_string(i)), 1},
                            team,
                            UpstreamId("u" + std::to_string(i / 8)),
                            {0, 0, 0, 1},
                            static_cast<std::int64_t>(random() % 1'000),
                            random() % 3 != 0});
    }
    PreemptionRequest request;
    request.team = Team(9);
    request.demand = {0, 0, 0, 2};
    demand[request.team] = {0, 0, 0, 16};
    request.entitled = shares.ComputeEntitlements(demand);
    for (int i = 0; i < 8; ++i) request.free[UpstreamId("u" + std::to_string(i))] = {};
    const auto victims = shares.ChooseVictims(request, candidates);
    if (victims.empty()) continue;
    ++chosen_rounds;
    ASSERT_EQ(victims.size(), 2U);
    std::map<TeamId, Resources> left;
    std::set<UpstreamId> upstreams;
    for (const AttemptId& id : victims) {
      const PreemptionCandidate& victim = candidates[std::stoul(id.task.value())];
      EXPECT_TRUE(victim.can_checkpoint);
      upstreams.insert(victim.upstream);
      left.try_emplace(victim.team, shares.Used(victim.team)).first->second -= victim.used;
    }
    EXPECT_EQ(upstreams.size(), 1U);
    for (const auto& [team, used] : left) {
      EXPECT_GE(static_cast<double>(used.slots) / 64, request.entitled[team].dominant_share - 1e-9);
    }
    request.max_victims = 1;
    EXPECT_TRUE(shares.ChooseVictims(request, candidates).empty());
  }
  EXPECT_GT(chosen_rounds, 200);
}

/// Guards against a team at its share that preempts tasks of others.
TEST(FairShareTest, TeamAtItsShareGetsNoVictims) {
  FairShare shares;
  shares.SetCapacity({0, 0, 0, 10});
  shares.AddUsage(Team(0), {0, 0, 0, 5}, kStart);
  shares.AddUsage(Team(1), {0, 0, 0, 5}, kStart);
  PreemptionRequest request{Team(0), {0, 0, 0, 1}, 4, {}, {{UpstreamId("u"), {}}}};
  request.entitled = shares.ComputeEntitlements({{Team(0), {0, 0, 0, 20}}, {Team(1), {0, 0, 0, 20}}});
  const PreemptionCandidate candidate{{TaskId("x"), 1}, Team(1), UpstreamId("u"), {0, 0, 0, 1}, 1, true};
  EXPECT_TRUE(shares.ChooseVictims(request, {candidate}).empty());
}

}  // namespace
}  // namespace jaymast
