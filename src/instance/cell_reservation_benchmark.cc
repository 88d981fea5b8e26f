#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>

#include "cell_testing/simulated_cluster.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One simulated second of a full cluster in which a gang over an eighth of the upstreams and 100 other jobs wait, by
/// the number of upstreams. Includes the work of the fakes.
void WaitingGangBesideFullUpstreams(benchmark::State& state) {
  const auto upstreams = static_cast<int>(state.range(0));
  SimulatedCluster cluster(1, upstreams);
  cluster.Run(seconds(3));
  for (int i = 0; i < 8; ++i) {
    cluster.Call(0, "POST", "fill" + std::to_string(i), "tasks=" + std::to_string(upstreams) + " cpu=1000 ms=3000000");
  }
  cluster.Run(seconds(5));
  cluster.Call(0, "POST", "gang", "tasks=" + std::to_string(upstreams / 8) + " cpu=8000 ms=3000000 gang");
  for (int i = 0; i < 100; ++i) cluster.Call(0, "POST", "job" + std::to_string(i), "cpu=2000 ms=4000000");
  cluster.Run(seconds(3));
  for (auto _ : state) cluster.Run(seconds(1));
  state.counters["waiting_steps"] = static_cast<double>(cluster.At(0).cell->term()->scheduler().waiting_steps());
}
BENCHMARK(WaitingGangBesideFullUpstreams)->Arg(16)->Arg(300)->Arg(1'068)->Unit(benchmark::kMillisecond);

/// The same with three quarters of the upstreams idle, so that a gang over all of them reserves capacity.
void WaitingGangBesideIdleUpstreams(benchmark::State& state) {
  const auto upstreams = static_cast<int>(state.range(0));
  SimulatedCluster cluster(1, upstreams);
  cluster.Run(seconds(3));
  cluster.Call(0, "POST", "fill", "tasks=" + std::to_string(upstreams / 4) + " cpu=5000 ms=3000000");
  cluster.Run(seconds(2));
  cluster.Call(0, "POST", "gang", "tasks=" + std::to_string(upstreams) + " cpu=5000 ms=3000000 gang");
  cluster.Run(seconds(3));
  for (int i = 0; i < 100; ++i) cluster.Call(0, "POST", "job" + std::to_string(i), "cpu=8000 ms=4000000");
  cluster.Run(seconds(1));
  for (auto _ : state) cluster.Run(seconds(1));
  state.counters["waiting_steps"] = static_cast<double>(cluster.At(0).cell->term()->scheduler().waiting_steps());
}
BENCHMARK(WaitingGangBesideIdleUpstreams)->Arg(16)->Arg(300)->Arg(1'068)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace jaymast
