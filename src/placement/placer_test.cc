#include "placement/placer.h"

#include <gtest/gtest.h>

#include <chrono>
#include <random>
#include <set>
#include <vector>

#include "placement/test_cluster.h"

namespace jaymast {
namespace {

using std::chrono::seconds;

constexpr Time kStart = TimeFromMicros(1'000'000);
constexpr Resources kSmall{1'000, 1'024, 0, 1};

void AddUpstreams(Placer& placer, int count) {
  for (int i = 0; i < count; ++i) {
    placer.PutUpstream(TestUpstream(i));
    placer.SetEligible(TestUpstream(i).id, true);
  }
}

int Fill(Placer& placer, const TaskSpec& spec) {
  int placed = 0;
  while (const auto chosen = placer.Choose(spec, kStart)) {
    placer.Reserve(*chosen, spec, kStart);
    ++placed;
  }
  return placed;
}

/// Guards against allocations above capacity, and placements on ineligible upstreams, under every policy.
TEST(PlacerTest, RandomWorkNeverExceedsCapacityAndNeverUsesIneligibleUpstreams) {
  for (const char* policy : {"best-fit", "spread", "headroom", "gang", "first-fit", "random", "strict-priority"}) {
    Placer placer(7);
    placer.SetPolicies({{WorkClass::kBatch, policy}, {WorkClass::kService, policy}});
    constexpr int kUpstreams = 40;
    AddUpstreams(placer, kUpstreams);
    std::mt19937_64 random(11);
    std::set<UpstreamId> ineligible;
    std::vector<std::pair<UpstreamId, TaskSpec>> running;
    int placed = 0;
    for (int step = 0; step < 3'000; ++step) {
      const UpstreamId flipped = TestUpstream(static_cast<int>(random() % kUpstreams)).id;
      const bool eligible = random() % 4 != 0;
      placer.SetEligible(flipped, eligible);
      eligible ? ineligible.erase(flipped) : ineligible.insert(flipped).second;
      const Resources demand{static_cast<std::int64_t>(random() % 9'000), static_cast<std::int64_t>(random() % 50'000),
                             0, 1};
      const auto work_class = random() % 2 == 0 ? WorkClass::kBatch : WorkClass::kService;
      const TaskSpec spec = TestTask("t" + std::to_string(step), work_class, demand);
      if (const auto chosen = placer.Choose(spec, kStart)) {
        ASSERT_FALSE(ineligible.contains(*chosen)) << policy;
        placer.Reserve(*chosen, spec, kStart);
        ASSERT_TRUE(placer.Used(*chosen).FitsIn(TestUpstream(0).capacity)) << policy;
        running.emplace_back(*chosen, spec);
        ++placed;
      }
      if (random() % 4 == 0 && !running.empty()) {
        std::swap(running[random() % running.size()], running.back());
        placer.Release(running.back().first, running.back().second, kStart);
        running.pop_back();
      }
    }
    EXPECT_GT(placed, 300) << policy;
    for (const auto& [id, spec] : running) placer.Release(id, spec, kStart);
    for (int i = 0; i < kUpstreams; ++i) EXPECT_EQ(placer.Used(TestUpstream(i).id), Resources{});
  }
}

/// Guards against a search that ends without finding the only upstream that fits.
TEST(PlacerTest, FindsTheOnlyUpstreamWithFreeCapacity) {
  Placer placer(1);
  placer.SetHeadroom(0, kSmall);
  AddUpstreams(placer, 200);
  const TaskSpec whole = TestTask("whole", WorkClass::kBatch, TestUpstream(0).capacity);
  EXPECT_EQ(Fill(placer, whole), 200);
  placer.Release(TestUpstream(137).id, whole, kStart);
  const auto chosen = placer.Choose(whole, kStart);
  ASSERT_TRUE(chosen);
  EXPECT_EQ(*chosen, TestUpstream(137).id);
}

/// Guards against tasks of other classes that use the headroom of previews.
TEST(PlacerTest, HeadroomIsKeptFreeForPreviews) {
  Placer placer(1);
  const Resources preview_demand{2'000, 2'048, 0, 1};
  placer.SetHeadroom(100, preview_demand);
  AddUpstreams(placer, 30);
  EXPECT_EQ(placer.ReservedPreviews(), 24);
  Fill(placer, TestTask("b", WorkClass::kBatch, {4'000, 4'096, 0, 1}));
  Fill(placer, TestTask("s", WorkClass::kService, kSmall));
  Fill(placer, TestTask("u", WorkClass::kUrgent, kSmall));
  EXPECT_GE(placer.FreePreviews(), 24);
  EXPECT_GE(Fill(placer, TestTask("p", WorkClass::kPreview, preview_demand)), 24);
  EXPECT_EQ(placer.FreePreviews(), 0);
}

TEST(PlacerTest, ImpossibleDemandNamesTheBindingConstraint) {
  Placer placer(1);
  AddUpstreams(placer, 3);
  UpstreamInfo accelerated = TestUpstream(9);
  accelerated.capacity = {16'000, 65'536, 2, 8};
  placer.PutUpstream(accelerated);
  const auto path = [&](const Resources& demand) {
    const auto chosen = placer.Choose(TestTask("t", WorkClass::kBatch, demand), kStart);
    EXPECT_EQ(chosen.error().id, ErrorId::kDemandImpossible);
    return chosen.error().path;
  };
  EXPECT_EQ(path({1'000, 200'000, 0, 1}), "/demand/memory_mb");
  EXPECT_EQ(path({64'000, 1'000, 0, 1}), "/demand/cpu_millis");
  EXPECT_EQ(path({1'000, 1'000, 4, 1}), "/demand/accelerators");
  EXPECT_EQ(path({1'000, 100'000, 1, 1}), "/demand/memory_mb");
  const auto later = placer.Choose(TestTask("t", WorkClass::kBatch, {16'000, 1'000, 2, 1}), kStart);
  EXPECT_EQ(later.error().id, ErrorId::kNoCapacity);
}

/// Guards against tasks placed outside their required failure domain.
TEST(PlacerTest, TaskWithDomainStaysInIt) {
  Placer placer(1);
  placer.SetHeadroom(0, kSmall);
  AddUpstreams(placer, 12);
  TaskSpec spec = TestTask("t", WorkClass::kService, kSmall);
  spec.domain = DomainId("d1");
  EXPECT_EQ(Fill(placer, spec), 4 * 8);
  spec.domain = DomainId("unknown");
  EXPECT_EQ(placer.Choose(spec, kStart).error().path, "/domain");
}

TEST(PlacerTest, ServicesSpreadOverDomainsAndRacks) {
  Placer placer(3);
  AddUpstreams(placer, 72);
  const TaskSpec spec = TestTask("s", WorkClass::kService, kSmall);
  std::map<DomainId, int> domains;
  std::map<std::string, int> racks;
  for (int i = 0; i < 9; ++i) {
    const auto chosen = placer.Choose(spec, kStart);
    ASSERT_TRUE(chosen);
    placer.Reserve(*chosen, spec, kStart);
    const UpstreamInfo info = TestUpstream(std::stoi(chosen->value().substr(1)));
    ++domains[info.domain];
    ++racks[info.domain.value() + info.rack];
  }
  EXPECT_EQ(domains, (std::map<DomainId, int>{{DomainId("d0"), 3}, {DomainId("d1"), 3}, {DomainId("d2"), 3}}));
  EXPECT_EQ(racks.size(), 9U);
}

/// Guards against capacity that stays allocated to a gang of which some members do not fit.
TEST(PlacerTest, GangIsPlacedAllOrNothing) {
  Placer placer(1);
  placer.SetHeadroom(0, kSmall);
  AddUpstreams(placer, 4);
  std::vector<TaskSpec> gang(5, TestTask("g", WorkClass::kGang, {20'000, 1'024, 0, 1}));
  EXPECT_EQ(placer.ChooseGang(gang, kStart).error().path, "/gang_size");
  gang.pop_back();
  const auto chosen = placer.ChooseGang(gang, kStart);
  ASSERT_TRUE(chosen);
  EXPECT_EQ(std::set<UpstreamId>(chosen->begin(), chosen->end()).size(), 4U);
  for (int i = 0; i < 4; ++i) EXPECT_EQ(placer.Used(TestUpstream(i).id), Resources{});
  placer.SetEligible(TestUpstream(2).id, false);
  EXPECT_EQ(placer.ChooseGang(gang, kStart).error().id, ErrorId::kNoCapacity);
}

/// Guards against a burst of starts in a failure domain that has just returned to service.
TEST(PlacerTest, StartsOnReturnedDomainAreRateLimited) {
  Placer placer(1);
  AddUpstreams(placer, 60);
  TaskSpec spec = TestTask("t", WorkClass::kBatch, kSmall);
  spec.domain = DomainId("d1");
  const Time until = kStart + seconds(30);
  placer.LimitStarts(spec.domain, until, 4, kStart);
  int started = 0;
  for (Time now = kStart; now < until; now += std::chrono::milliseconds(10)) {
    const auto chosen = placer.Choose(spec, now);
    if (!chosen) continue;
    placer.Reserve(*chosen, spec, now);
    ++started;
  }
  EXPECT_EQ(started, 120);
  EXPECT_GT(Fill(placer, TestTask("other", WorkClass::kBatch, kSmall)), 200);
  EXPECT_TRUE(placer.Choose(TestTask("p", WorkClass::kPreview, kSmall), until));
}

/// Guards against backfilled tasks that delay the reserved start of a blocked task.
TEST(PlacerTest, BackfillDoesNotDelayReservedStart) {
  Placer placer(1);
  placer.SetHeadroom(0, kSmall);
  AddUpstreams(placer, 1);
  const TaskSpec half = TestTask("half", WorkClass::kBatch, {20'000, 1'024, 0, 1});
  placer.Reserve(TestUpstream(0).id, half, kStart);
  const TaskSpec blocked = TestTask("blocked", WorkClass::kBatch, {31'000, 1'024, 0, 1});
  const auto start = placer.ReserveStart(blocked, kStart);
  ASSERT_TRUE(start);
  EXPECT_EQ(*start, kStart + seconds(10));
  TaskSpec filler = TestTask("filler", WorkClass::kBatch, {2'000, 1'024, 0, 1});
  filler.declared_run_ms = 10'001;
  EXPECT_FALSE(placer.Choose(filler, kStart));
  filler.declared_run_ms = 10'000;
  EXPECT_TRUE(placer.Choose(filler, kStart));
  filler.declared_run_ms = 1'000'000;
  filler.demand.cpu_millis = 1'000;
  ASSERT_TRUE(placer.Choose(filler, kStart));
  placer.Reserve(TestUpstream(0).id, filler, kStart);
  EXPECT_FALSE(placer.Choose(filler, kStart));
  placer.Release(TestUpstream(0).id, half, *start);
  const auto chosen = placer.Choose(blocked, *start);
  EXPECT_TRUE(chosen) << chosen.error().reason;
}

/// Guards against reservations that keep an upstream empty after a wrong estimate.
TEST(PlacerTest, UnusedReservationExpires) {
  Placer placer(1);
  placer.SetHeadroom(0, kSmall);
  AddUpstreams(placer, 1);
  const TaskSpec blocked = TestTask("blocked", WorkClass::kBatch, {32'000, 1'024, 0, 1});
  const TaskSpec service = TestTask("service", WorkClass::kService, kSmall);
  ASSERT_TRUE(placer.ReserveStart(blocked, kStart));
  EXPECT_FALSE(placer.Choose(service, kStart + seconds(29)));
  EXPECT_TRUE(placer.Choose(service, kStart + seconds(31)));
}

/// Guards against totals that drift when the platform changes an upstream while tasks run.
TEST(PlacerTest, UpstreamUpdatesKeepReservationsAndTotals) {
  Placer placer(1);
  AddUpstreams(placer, 20);
  const TaskSpec spec = TestTask("t", WorkClass::kBatch, kSmall);
  placer.Reserve(TestUpstream(3).id, spec, kStart);
  UpstreamInfo grown = TestUpstream(3);
  grown.capacity.slots = 16;
  placer.PutUpstream(grown);
  EXPECT_EQ(placer.Used(grown.id), kSmall);
  EXPECT_EQ(placer.TotalCapacity().slots, 19 * 8 + 16);
  EXPECT_EQ(placer.Free().slots, 19 * 8 + 15);
  grown.leaving = true;
  placer.PutUpstream(grown);
  EXPECT_EQ(placer.Free().slots, 19 * 8);
  placer.RemoveUpstream(grown.id);
  placer.Release(grown.id, spec, kStart);
  EXPECT_EQ(placer.TotalCapacity().slots, 19 * 8);
  EXPECT_EQ(placer.FreePreviews(), 19 * 8);
  EXPECT_EQ(placer.Free().slots, 19 * 8);
}

}  // namespace
}  // namespace jaymast
