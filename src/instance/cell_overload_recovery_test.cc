#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <iostream>
#include <ostream>
#include <string>
#include <vector>

#include "cell_testing/cell_checks.h"
#include "cell_testing/retrying_callers.h"

namespace jaymast {
namespace {

using std::chrono::seconds;

constexpr int kInstances = 24;
constexpr int kUpstreams = 10;
constexpr std::int64_t kUpstreamCpuMillis = 64'000;
constexpr std::uint32_t kSeed = 1;
/// Share of the capacity in calm times.
constexpr double kCalmLoad = 0.6;
constexpr double kBurstLoad = 4;
constexpr double kMinServedShare = 0.9;

/// How the event loop of an instance takes its messages.
struct LoopModel {
  const char* name;
  bool are_timers_first;
  std::size_t bytes_per_turn;
};

std::ostream& operator<<(std::ostream& out, const LoopModel& model) { return out << model.name; }

constexpr LoopModel kEventLoop{"event_loop", true, 0};
constexpr LoopModel kSmallPieces{"small_pieces", true, 512};
constexpr LoopModel kOneInbox{"one_inbox", false, 0};

ProcessorSettings MakeProcessor(const LoopModel& model) {
  ProcessorSettings settings;
  settings.are_timers_first = model.are_timers_first;
  settings.bytes_per_turn = model.bytes_per_turn;
  return settings;
}

/// A cell whose instances need processor time, and its callers.
class LoadedCell {
 public:
  explicit LoadedCell(const LoopModel& model, int instances = kInstances)
      : m_cluster(instances, kUpstreams, kUpstreamCpuMillis, {}, MakeProcessor(model)) {
    m_cluster.Run(seconds(3));
  }

  /// Calls a second that the leader can handle, apart from all else that it does.
  static double Capacity() { return 1 / std::chrono::duration<double>(ProcessorSettings{}.RelayedCallCost()).count(); }

  /// Callers arrive at this share of the capacity for some time.
  void Offer(double load, Duration time) {
    m_callers.SetRate(load * Capacity());
    m_cluster.Run(time);
  }

  /// Nobody arrives for some time.
  void Pause(Duration time) {
    m_callers.SetRate(0);
    m_cluster.Run(time);
  }

  double ServedShare(Time from, Time to) const {
    const double arrived = static_cast<double>(m_callers.CountArrived(from, to));
    return static_cast<double>(m_callers.CountServed(from, to)) / arrived;
  }

  /// Ends the load, and expects that all accepted jobs complete.
  void ExpectNoAcceptedJobLost() {
    Pause(seconds(60));
    std::size_t lost = 0;
    for (const std::string& job : m_callers.accepted_jobs()) {
      lost += m_cluster.history.done.contains(TaskKey{JobId(job), 0, 0, 0}) ? 0 : 1;
    }
    EXPECT_EQ(lost, 0U) << "of " << m_callers.accepted_jobs().size();
    ExpectNoViolation(m_cluster);
  }

  Time now() const { return m_cluster.queue.now(); }
  SimulatedCluster& cluster() { return m_cluster; }
  RetryingCallers& callers() { return m_callers; }

 private:
  SimulatedCluster m_cluster;
  RetryingCallers m_callers{m_cluster, kSeed};
};

class CellOverloadRecoveryTest : public testing::TestWithParam<LoopModel> {};

// Guards against an overload that outlives its cause.
TEST_P(CellOverloadRecoveryTest, GoodputReturnsAfterBurst) {
  LoadedCell cell(GetParam());
  cell.Offer(kCalmLoad, seconds(5));
  const Time burst_at = cell.now();
  cell.Offer(kBurstLoad, seconds(3));
  const Time calm_at = cell.now();
  cell.Offer(kCalmLoad, seconds(5));
  const Time recovered_by = cell.now();
  cell.Offer(kCalmLoad, seconds(10));
  const Time ended_at = cell.now();
  cell.Offer(kCalmLoad, RetryingCallers::kTimeLimit);
  std::cout << fmt::format("Served: {:.3f} in the burst, {:.3f} in 5 s after it, {:.3f} in the next 10 s; leader i{}\n",
                           cell.ServedShare(burst_at, calm_at), cell.ServedShare(calm_at, recovered_by),
                           cell.ServedShare(recovered_by, ended_at), cell.cluster().Leader());
  EXPECT_GE(cell.ServedShare(recovered_by, ended_at), kMinServedShare);
  cell.ExpectNoAcceptedJobLost();
}

// Guards against jobs whose state can't be read once the load has ended.
TEST_P(CellOverloadRecoveryTest, StateCanBeReadAfterTheLoad) {
  LoadedCell cell(GetParam());
  cell.Offer(kCalmLoad, seconds(5));
  cell.Offer(kBurstLoad, seconds(3));
  cell.Pause(seconds(5));
  const Time read_at = cell.now();
  const Duration interval(std::llround(1e6 / (kCalmLoad * LoadedCell::Capacity())));
  const std::vector<std::string> jobs = cell.callers().accepted_jobs();
  for (const std::string& job : jobs) {
    cell.callers().Read(job);
    cell.cluster().Run(interval);
  }
  cell.Pause(RetryingCallers::kTimeLimit);
  const std::size_t served = cell.callers().CountServed(read_at, cell.now());
  std::cout << fmt::format("State read in time: {} of {} jobs\n", served, jobs.size());
  EXPECT_EQ(served, jobs.size());
  cell.ExpectNoAcceptedJobLost();
}

// Load pattern: 6 instances, a third of the capacity, and a store that takes 400 ms for each transaction.
// Guards against calls that are refused although the leader is idle, as others wait for the store.
TEST(CellSlowStoreTest, CallsAreServed) {
  constexpr int kFewInstances = 6;
  constexpr double kLowLoad = 0.3;
  LoadedCell cell(kEventLoop, kFewInstances);
  cell.Offer(kLowLoad, seconds(5));
  for (const auto& instance : cell.cluster().instances) instance->store->fault = StoreFault::kSlow;
  cell.Offer(kLowLoad, seconds(2));
  const Time from = cell.now();
  cell.Offer(kLowLoad, seconds(10));
  const Time to = cell.now();
  cell.Offer(kLowLoad, RetryingCallers::kTimeLimit);
  EXPECT_GE(cell.ServedShare(from, to), kMinServedShare);
}

// Guards against goodput that falls when more is offered than the leader can handle.
TEST_P(CellOverloadRecoveryTest, GoodputHoldsBeyondCapacity) {
  constexpr std::array kLoads = {0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 4.0};
  constexpr Duration kMeasured = seconds(10);
  double peak = 0;
  double last = 0;
  std::cout << fmt::format("Capacity: {:.0f} calls/s\n", LoadedCell::Capacity());
  std::cout << "load  offered/s  goodput/s  calls/caller  longest inbox  leader\n";
  for (const double load : kLoads) {
    LoadedCell cell(GetParam());
    cell.Offer(load, seconds(5));
    const Time from = cell.now();
    cell.Offer(load, kMeasured);
    const Time to = cell.now();
    // Callers that return must not find a cell without other load.
    cell.Offer(load, RetryingCallers::kTimeLimit);
    const double time_s = std::chrono::duration<double>(to - from).count();
    const double arrived = static_cast<double>(cell.callers().CountArrived(from, to));
    last = static_cast<double>(cell.callers().CountServed(from, to)) / time_s;
    peak = std::max(peak, last);
    std::size_t longest = 0;
    for (const auto& instance : cell.cluster().instances) longest = std::max(longest, instance->processor->max_waiting);
    std::cout << fmt::format("{:4.2f}  {:9.0f}  {:9.0f}  {:12.2f}  {:13}  {:6}\n", load, arrived / time_s, last,
                             static_cast<double>(cell.callers().CountAttempts(from, to)) / arrived, longest,
                             cell.cluster().Leader());
    ExpectNoViolation(cell.cluster());
  }
  EXPECT_GE(last, kMinServedShare * peak);
}

INSTANTIATE_TEST_SUITE_P(Loops, CellOverloadRecoveryTest, testing::Values(kEventLoop, kSmallPieces, kOneInbox));

}  // namespace
}  // namespace jaymast
