#include "cell/upstream_selector.h"

#include <gtest/gtest.h>

#include <deque>
#include <limits>
#include <vector>

namespace jaymast {
namespace {

constexpr double kUnattainable = std::numeric_limits<double>::max();

/// Builds options of upstreams of 10 cores.
class UpstreamSelectorTest : public testing::Test {
 protected:
  void Add(double speed, std::int64_t slots, double free_share, int penalty = 0) {
    UpstreamState& upstream = m_upstreams.emplace_back();
    upstream.listing.capacity.cpu_millis = 10'000;
    upstream.allocated.cpu_millis = static_cast<std::int64_t>(10'000 * (1 - free_share));
    options.push_back({&upstream, slots, speed, speed, free_share, penalty});
  }

  double SpeedOfChoice(double required_speed) {
    const UpstreamOption* option = UpstreamSelector(required_speed).ChooseForTask(options);
    return option == nullptr ? 0 : option->speed;
  }

  std::vector<double> SpeedsOfGang(double required_speed, std::int64_t task_count) {
    std::vector<UpstreamOption> chosen = options;
    UpstreamSelector(required_speed).ChooseForGang(chosen, task_count);
    std::vector<double> speeds;
    for (const UpstreamOption& option : chosen) {
      for (std::int64_t i = 0; i < option.slots && speeds.size() < static_cast<std::size_t>(task_count); ++i) {
        speeds.push_back(option.speed);
      }
    }
    return speeds;
  }

  std::vector<UpstreamOption> options;

 private:
  std::deque<UpstreamState> m_upstreams;
};

// Guards against work that fills fast upstreams although it is in time on slow ones, and against urgent work on these.
TEST_F(UpstreamSelectorTest, TaskGetsTheSlowestSufficientUpstreamOrElseTheFastest) {
  Add(1.7, 4, 0.5);
  Add(1.0, 4, 0.5);
  Add(0.7, 4, 0.5);
  Add(2.5, 0, 0);
  EXPECT_EQ(SpeedOfChoice(0), 0.7);
  EXPECT_EQ(SpeedOfChoice(0.9), 1.0);
  EXPECT_EQ(SpeedOfChoice(1.2), 1.7);
  EXPECT_EQ(SpeedOfChoice(kUnattainable), 1.7);
}

// Guards against the fragmentation of upstreams whose estimates differ only by noise.
TEST_F(UpstreamSelectorTest, FullestOfEquallyFastUpstreamsIsChosen) {
  Add(1.00, 4, 0.9);
  Add(1.08, 4, 0.2);
  Add(0.95, 4, 0.6);
  EXPECT_EQ(SpeedOfChoice(0), 1.08);
  EXPECT_EQ(SpeedOfChoice(kUnattainable), 1.08);
}

// Guards against urgent work on upstreams of unknown speed, most of which are slow, while a fast one is free.
TEST_F(UpstreamSelectorTest, UncertainSpeedIsNotSufficient) {
  Add(1.7, 4, 0.5);
  Add(1.0, 4, 0.5);
  options.back().low_speed = 0.65;
  EXPECT_EQ(SpeedOfChoice(0.9), 1.7);
  EXPECT_EQ(SpeedOfChoice(0.6), 1.0);
}

// Guards against a retry on the upstream where the task has just failed because it has the right speed.
TEST_F(UpstreamSelectorTest, PenaltyCountsBeforeSpeed) {
  Add(1.7, 4, 0.5, 1);
  Add(0.7, 4, 0.5, 0);
  EXPECT_EQ(SpeedOfChoice(1.5), 0.7);
}

TEST_F(UpstreamSelectorTest, NoSlotMeansNoChoice) {
  Add(1.7, 0, 0);
  EXPECT_EQ(SpeedOfChoice(0), 0);
}

// Guards against fast upstreams that wait beside a slow member of their gang.
TEST_F(UpstreamSelectorTest, GangIsNotMixedIfOneClassHoldsIt) {
  Add(0.7, 1, 0.5);
  Add(1.7, 2, 0.5);
  Add(0.7, 1, 0.5);
  Add(1.7, 2, 0.5);
  EXPECT_EQ(SpeedsOfGang(0, 2), (std::vector<double>{0.7, 0.7}));
  // The two slow upstreams would hold back the other two members.
  EXPECT_EQ(SpeedsOfGang(0, 4), (std::vector<double>{1.7, 1.7, 1.7, 1.7}));
  EXPECT_EQ(SpeedsOfGang(0, 5), (std::vector<double>{0.7, 0.7, 1.7, 1.7, 1.7}));
}

// Guards against a gang that is late because of one slow member while a faster set is free.
TEST_F(UpstreamSelectorTest, GangGetsASufficientSetOrTheBestSlowestMember) {
  Add(0.7, 3, 0.5);
  Add(1.0, 3, 0.5);
  Add(1.7, 1, 0.5);
  EXPECT_EQ(SpeedsOfGang(0.9, 3), (std::vector<double>{1.0, 1.0, 1.0}));
  EXPECT_EQ(SpeedsOfGang(kUnattainable, 4), (std::vector<double>{1.0, 1.0, 1.0, 1.7}));
  EXPECT_EQ(SpeedsOfGang(kUnattainable, 7).size(), 7U);
}

}  // namespace
}  // namespace jaymast
