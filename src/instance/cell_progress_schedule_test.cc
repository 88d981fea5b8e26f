#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "cell_testing/cell_checks.h"
#include "cell_testing/policy_workload.h"
#include "cell_testing/progress_monitor.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kInstances = 8;

/// Runs jobs whose queues use the policy service, with faults that the seed determines.
class ProgressScheduleTest : public testing::TestWithParam<unsigned> {
 protected:
  ProgressScheduleTest() : m_workload(m_cluster, GetParam()), m_monitor(m_cluster) { m_cluster.Run(seconds(2)); }

  /// Submits the jobs of the next `time` at instances that are up.
  void Submit(Duration time) {
    constexpr int kTries = 3;
    const Time end = m_cluster.queue.now() + time;
    while (m_cluster.queue.now() < end) {
      m_cluster.Run(m_workload.TimeToNextArrival(m_rate));
      const PolicyWorkload::Arrival arrival = m_workload.NextArrival();
      for (int i = 0; i < kTries; ++i) {
        const int instance = m_workload.Pick(kInstances);
        if (!m_cluster.At(instance).is_up) continue;
        m_cluster.Call(instance, "POST", arrival.queue + "/" + arrival.job, arrival.payload, arrival.key);
        break;
      }
    }
  }

  /// Begins one of the faults, which ends by itself.
  void Inject() {
    m_monitor.OnFault();
    const Duration time = milliseconds(500 + m_workload.Pick(5000));
    switch (m_workload.Pick(12)) {
      case 0:
        return Kill(m_workload.Chance(0.3) ? 1.0 : 0.2);
      case 1: {
        SimulatedCluster::Instance& instance = m_cluster.At(m_workload.Pick(kInstances));
        instance.is_paused = true;
        return Later(time, [&instance] { instance.is_paused = false; });
      }
      case 2:
        return FailStore(time);
      case 3: {
        const double share = 0.1 * (1 + m_workload.Pick(9));
        m_cluster.policy_service.loses_reply = [this, share] { return m_workload.Chance(share); };
        return Later(time, [this] { m_cluster.policy_service.loses_reply = nullptr; });
      }
      case 4: {
        const int bound_ms = 100 + m_workload.Pick(1500);
        m_cluster.policy_service.extra_delay = [this, bound_ms] { return milliseconds(m_workload.Pick(bound_ms)); };
        return Later(time, [this] { m_cluster.policy_service.extra_delay = nullptr; });
      }
      case 5:
        return OnUpstreams(
            0.14, time, [](FakeUpstream& upstream) { upstream.Restart(); }, [](FakeUpstream&) {});
      case 6:
        return OnUpstreams(
            0.17, time, [](FakeUpstream& upstream) { upstream.is_reachable = false; },
            [](FakeUpstream& upstream) { upstream.is_reachable = true; });
      case 7:
        return OnUpstreams(
            0.1, time, [](FakeUpstream& upstream) { upstream.fails_runs = true; },
            [](FakeUpstream& upstream) { upstream.fails_runs = false; });
      case 8:
        return OnUpstreams(
            0.02, time, [](FakeUpstream& upstream) { upstream.stands_still = true; },
            [](FakeUpstream& upstream) { upstream.stands_still = false; });
      case 9:
        m_rate = 2.0;
        return Later(time, [this] { m_rate = 1.0; });
      case 10:
        m_rate = 2.5;
        m_workload.hot_team = m_workload.Pick(PolicyWorkload::kTeams);
        return Later(time, [this] {
          m_rate = 1.0;
          m_workload.hot_team = -1;
        });
      default:
        return Partition(time);
    }
  }

  SimulatedCluster m_cluster{kInstances, PolicyWorkload::kUpstreams, PolicyWorkload::kUpstreamCpuMillis};
  PolicyWorkload m_workload;
  ProgressMonitor m_monitor;
  double m_rate = 1.0;

 private:
  void Later(Duration delay, const std::function<void()>& action) {
    m_cluster.queue.After(delay, [this, action] {
      action();
      m_monitor.OnFault();
    });
  }

  void OnUpstreams(double share, Duration time, const std::function<void(FakeUpstream&)>& begin,
                   const std::function<void(FakeUpstream&)>& end) {
    for (const auto& upstream : m_cluster.fake_upstreams) {
      if (!m_workload.Chance(share)) continue;
      begin(*upstream);
      Later(time, [&upstream = *upstream, end] { end(upstream); });
    }
  }

  void Kill(double share) {
    for (int i = 0; i < kInstances; ++i) {
      if (!m_workload.Chance(share) || !m_cluster.At(i).is_up) continue;
      m_cluster.Kill(i);
      Later(milliseconds(200 + m_workload.Pick(3000)), [this, i] {
        if (!m_cluster.At(i).is_up) m_cluster.Restart(i);
      });
    }
  }

  void FailStore(Duration time) {
    const auto fault = static_cast<StoreFault>(1 + m_workload.Pick(5));
    const double share = m_workload.Chance(0.5) ? 1.0 : 0.3;
    for (const auto& instance : m_cluster.instances) {
      if (!m_workload.Chance(share)) continue;
      instance->store->fault = fault;
      Later(time, [&instance = *instance] { instance.store->fault = StoreFault::kNone; });
    }
  }

  void Partition(Duration time) {
    SimulatedCluster::Instance& instance = m_cluster.At(m_workload.Pick(kInstances));
    for (const auto& other : m_cluster.instances) {
      if (other.get() != &instance && m_workload.Chance(0.4)) instance.unreachable.insert(other->address);
    }
    for (const auto& upstream : m_cluster.fake_upstreams) {
      if (m_workload.Chance(0.4)) instance.unreachable.insert(upstream->listing().address);
    }
    Later(time, [&instance] { instance.unreachable.clear(); });
  }
};

// Guards against jobs that stand still after faults have ended, although the upstreams that may run them have capacity.
TEST_P(ProgressScheduleTest, JobsDoNotStandStillAfterFaults) {
  constexpr int kFaults = 12;
  for (int i = 0; i < kFaults; ++i) {
    Submit(seconds(2));
    Inject();
  }
  Submit(seconds(m_workload.Pick(12)));
  m_cluster.Run(seconds(30));
  for (const std::string& violation : m_monitor.violations) ADD_FAILURE() << violation;
  ExpectNoViolation(m_cluster);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ProgressScheduleTest, testing::Range(1U, 13U));

// Seeds of earlier failures: timeouts of policy calls that grew to 20 s while replies were lost.
INSTANTIATE_TEST_SUITE_P(Regressions, ProgressScheduleTest, testing::Values(55U, 223U, 361U));

}  // namespace
}  // namespace jaymast
