#include <gtest/gtest.h>

#include <random>
#include <string>

#include "cell_testing/cell_checks.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs a random fault schedule that the seed determines.
class FaultScheduleTest : public testing::TestWithParam<unsigned> {};

// Guards against duplicate runs, overcommitted upstreams, lost jobs and calls without a response under combined faults.
TEST_P(FaultScheduleTest, GuaranteesHold) {
  constexpr int kInstances = 4;
  constexpr int kUpstreams = 6;
  constexpr int kJobs = 60;
  std::mt19937 random(GetParam());
  const auto pick = [&random](int bound) { return static_cast<int>(random() % static_cast<unsigned>(bound)); };
  SimulatedCluster cluster(kInstances, kUpstreams);
  cluster.Run(seconds(2));
  cluster.drops_start_reply = [&pick](const StartOrder&) { return pick(40) == 0; };
  cluster.start_delay = [&pick](const StartOrder&) {
    return pick(60) == 0 ? Duration(milliseconds(2000 + pick(6000))) : Duration::zero();
  };
  for (int i = 0; i < kJobs; ++i) {
    const std::string gang = pick(5) == 0 ? " gang" : "";
    cluster.Call(pick(kInstances), "POST", "job" + std::to_string(i),
                 "tasks=" + std::to_string(1 + pick(4)) + " ms=" + std::to_string(200 + pick(2000)) + gang);
    const int instance = pick(kInstances);
    const int upstream = pick(kUpstreams);
    switch (pick(12)) {
      case 0:
        if (cluster.At(instance).is_up) {
          cluster.Kill(instance);
          cluster.queue.After(milliseconds(300 + pick(2000)), [&cluster, instance] {
            if (!cluster.At(instance).is_up) cluster.Restart(instance);
          });
        }
        break;
      case 1: {
        const auto fault = static_cast<StoreFault>(1 + pick(4));
        cluster.At(instance).store->fault = fault;
        cluster.queue.After(milliseconds(500 + pick(3000)),
                            [&cluster, instance] { cluster.At(instance).store->fault = StoreFault::kNone; });
        break;
      }
      case 2:
        cluster.At(instance).is_paused = true;
        cluster.queue.After(milliseconds(500 + pick(3500)),
                            [&cluster, instance] { cluster.At(instance).is_paused = false; });
        break;
      case 3:
        cluster.fake_upstreams[static_cast<std::size_t>(upstream)]->is_reachable = false;
        cluster.queue.After(milliseconds(500 + pick(9000)), [&cluster, upstream] {
          cluster.fake_upstreams[static_cast<std::size_t>(upstream)]->is_reachable = true;
        });
        break;
      case 4:
        cluster.fake_upstreams[static_cast<std::size_t>(upstream)]->Restart();
        break;
      case 5:
        cluster.At(instance).unreachable.insert("u" + std::to_string(upstream));
        cluster.At(instance).unreachable.insert("i" + std::to_string(pick(kInstances)));
        cluster.queue.After(milliseconds(500 + pick(4000)),
                            [&cluster, instance] { cluster.At(instance).unreachable.clear(); });
        break;
      default:
        break;
    }
    cluster.Run(milliseconds(100 + pick(400)));
  }
  cluster.drops_start_reply = nullptr;
  cluster.start_delay = nullptr;
  cluster.Run(seconds(45));
  ASSERT_GE(cluster.Leader(), 0);
  for (int i = 0; i < kJobs; ++i) {
    const std::string job = "job" + std::to_string(i);
    if (cluster.LastStatus("POST " + job) != kAccepted) continue;
    EXPECT_EQ(GetJobState(cluster, cluster.Leader(), job), "completed");
    EXPECT_EQ(cluster.LastStatus("GET " + job), kState);
  }
  ExpectNoViolation(cluster);
}

INSTANTIATE_TEST_SUITE_P(Seeds, FaultScheduleTest, testing::Range(1U, 41U));

// Seeds of earlier failures. 106, 168: ends of a new incarnation of an upstream were acknowledged without being
// processed. 1390: a process that had been paused sent an outdated start. 1972: the same with a repeated start. 1998 to
// 2000: ends were missed while the upstream was unreachable. 791, 894: an upstream took a lease on the clock that it
// had before its restart.
INSTANTIATE_TEST_SUITE_P(Regressions, FaultScheduleTest,
                         testing::Values(106U, 168U, 1390U, 1972U, 1998U, 1999U, 2000U, 791U, 894U));

}  // namespace
}  // namespace jaymast
