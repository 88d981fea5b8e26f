#include <benchmark/benchmark.h>

#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "placement/admission_queue.h"
#include "placement/fair_share.h"
#include "placement/placer.h"
#include "placement/test_cluster.h"

namespace jaymast {
namespace {

constexpr Time kStart = TimeFromMicros(1'000'000);
constexpr std::array<WorkClass, 4> kMix = {WorkClass::kBatch, WorkClass::kBatch, WorkClass::kPreview,
                                           WorkClass::kService};

TaskSpec RandomTask(std::mt19937_64& random, std::uint64_t number) {
  const auto cpu = std::int64_t{1'000} << (random() % 5);
  TaskSpec spec = TestTask("t" + std::to_string(number), kMix[random() % kMix.size()], {cpu, cpu * 4, 0, 1});
  spec.team = TeamId("team" + std::to_string(random() % 150));
  spec.kind = "kind" + std::to_string(random() % 3);
  return spec;
}

void AddUpstreams(Placer& placer, int upstreams) {
  for (int i = 0; i < upstreams; ++i) {
    placer.PutUpstream(TestUpstream(i));
    placer.SetEligible(TestUpstream(i).id, true);
  }
}

/// One decision with its reservation, on a cluster kept as full as the policies allow.
void Decision(benchmark::State& state) {
  std::mt19937_64 random(1);
  Placer placer(1);
  AddUpstreams(placer, static_cast<int>(state.range(0)));
  std::vector<TaskSpec> specs;
  for (std::uint64_t i = 0; i < 4'096; ++i) specs.push_back(RandomTask(random, i));
  std::vector<std::pair<UpstreamId, const TaskSpec*>> running;
  std::size_t next = 0;
  std::int64_t refused = 0;
  for (auto _ : state) {
    const TaskSpec& spec = specs[next++ % specs.size()];
    const auto chosen = placer.Choose(spec, kStart);
    if (chosen) {
      placer.Reserve(*chosen, spec, kStart);
      running.emplace_back(*chosen, &spec);
      continue;
    }
    ++refused;
    std::swap(running[random() % running.size()], running.back());
    placer.Release(running.back().first, *running.back().second, kStart);
    running.pop_back();
  }
  state.counters["refused"] = benchmark::Counter(static_cast<double>(refused), benchmark::Counter::kAvgIterations);
}
BENCHMARK(Decision)->Arg(50)->Arg(1'100);

/// One round of offers on a queue where nothing fits.
void BlockedRound(benchmark::State& state) {
  std::mt19937_64 random(2);
  FairShare shares;
  shares.SetCapacity({35'200'000, 144'000'000, 1'700, 8'800});
  AdmissionQueue queue(shares, 1'000'000);
  for (std::uint64_t i = 0; i < static_cast<std::uint64_t>(state.range(0)); ++i) {
    WaitingTask task;
    task.spec = RandomTask(random, i);
    task.id = {task.spec.id, 1};
    task.since = kStart;
    task.deadline = Time::max();
    queue.Push(std::move(task));
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(queue.Offer(kStart, [](const WaitingTask&) { return OfferOutcome::kNoCapacity; }));
  }
}
BENCHMARK(BlockedRound)->Arg(1'000)->Arg(20'000)->Arg(200'000);

void PushAndErase(benchmark::State& state) {
  std::mt19937_64 random(3);
  FairShare shares;
  AdmissionQueue queue(shares, 1'000'000);
  std::uint64_t number = 0;
  for (auto _ : state) {
    WaitingTask task;
    task.spec = RandomTask(random, ++number);
    task.id = {task.spec.id, 1};
    task.deadline = Time::max();
    queue.Push(std::move(task));
    if (number > static_cast<std::uint64_t>(state.range(0))) {
      queue.Erase({TaskId("t" + std::to_string(number - static_cast<std::uint64_t>(state.range(0)))), 1});
    }
  }
}
BENCHMARK(PushAndErase)->Arg(1'000)->Arg(20'000)->Arg(200'000);

void EntitledShares(benchmark::State& state) {
  FairShare shares;
  shares.SetCapacity({35'200'000, 144'000'000, 1'700, 8'800});
  std::map<TeamId, Resources> demand;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    demand[TeamId("team" + std::to_string(i))] = {1'000 * (i % 400), 4'000 * (400 - i), i % 3, 100 + i};
  }
  for (auto _ : state) benchmark::DoNotOptimize(shares.ComputeEntitlements(demand));
}
BENCHMARK(EntitledShares)->Arg(6)->Arg(150);

}  // namespace
}  // namespace jaymast
