#include "upstream/upstream_health.h"

#include <algorithm>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <chrono>

namespace jaymast {
namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

/// Consecutive failures after which an upstream is ejected. One faulty job alone fails at most three attempts.
constexpr int kFailuresToEject = 5;
constexpr Duration kFirstEjection = std::chrono::seconds(5);
constexpr Duration kMaxEjection = std::chrono::seconds(60);

struct Success {};
struct Failure {
  Time now;
};
struct Tick {
  Time now;
};

struct HealthDef : msm::front::state_machine_def<HealthDef> {
  struct Healthy : msm::front::state<> {};
  struct Ejected : msm::front::state<> {};
  struct Probing : msm::front::state<> {};
  using initial_state = Healthy;

  struct ReachesThreshold {
    template <typename Event, typename Fsm, typename Source, typename Target>
    bool operator()(const Event& /*event*/, Fsm& machine, Source& /*source*/, Target& /*target*/) const {
      return machine.m_failures + 1 >= kFailuresToEject;
    }
  };
  struct IsEjectionOver {
    template <typename Fsm, typename Source, typename Target>
    bool operator()(const Tick& tick, Fsm& machine, Source& /*source*/, Target& /*target*/) const {
      return tick.now >= machine.m_ejected_until;
    }
  };
  struct CountFailure {
    template <typename Event, typename Fsm, typename Source, typename Target>
    void operator()(const Event& /*event*/, Fsm& machine, Source& /*source*/, Target& /*target*/) const {
      ++machine.m_failures;
    }
  };
  struct ClearFailures {
    template <typename Event, typename Fsm, typename Source, typename Target>
    void operator()(const Event& /*event*/, Fsm& machine, Source& /*source*/, Target& /*target*/) const {
      machine.m_failures = 0;
    }
  };
  struct Eject {
    template <typename Fsm, typename Source, typename Target>
    void operator()(const Failure& failure, Fsm& machine, Source& /*source*/, Target& /*target*/) const {
      machine.m_ejected_until = failure.now + machine.m_next_ejection;
      machine.m_next_ejection = std::min(machine.m_next_ejection * 2, kMaxEjection);
      machine.m_phase = Phase::kEjected;
    }
  };
  struct Probe {
    template <typename Event, typename Fsm, typename Source, typename Target>
    void operator()(const Event& /*event*/, Fsm& machine, Source& /*source*/, Target& /*target*/) const {
      machine.m_phase = Phase::kProbing;
    }
  };
  struct Restore {
    template <typename Event, typename Fsm, typename Source, typename Target>
    void operator()(const Event& /*event*/, Fsm& machine, Source& /*source*/, Target& /*target*/) const {
      machine.m_failures = 0;
      machine.m_next_ejection = kFirstEjection;
      machine.m_phase = Phase::kHealthy;
    }
  };

  // clang-format off
  // The name is required by Boost.MSM.
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table : boost::mpl::vector<
      Row<Healthy, Success, none,    ClearFailures, none>,
      Row<Healthy, Failure, none,    CountFailure,  none>,
      Row<Healthy, Failure, Ejected, Eject,         ReachesThreshold>,
      Row<Ejected, Tick,    Probing, Probe,         IsEjectionOver>,
      Row<Probing, Success, Healthy, Restore,       none>,
      Row<Probing, Failure, Ejected, Eject,         none>> {};
  // clang-format on

  template <typename Event, typename Fsm>
  void no_transition(const Event& /*event*/, Fsm& /*machine*/, int /*state*/) {}

  enum class Phase { kHealthy, kEjected, kProbing };

  Phase m_phase = Phase::kHealthy;
  int m_failures = 0;
  Duration m_next_ejection = kFirstEjection;  ///< duration of the next ejection
  Time m_ejected_until;
};

}  // namespace

class UpstreamHealth::Machine : public msm::back::state_machine<HealthDef> {};

UpstreamHealth::UpstreamHealth() : m_machine(std::make_unique<Machine>()) { m_machine->start(); }
UpstreamHealth::~UpstreamHealth() = default;
UpstreamHealth::UpstreamHealth(UpstreamHealth&&) noexcept = default;
UpstreamHealth& UpstreamHealth::operator=(UpstreamHealth&&) noexcept = default;

void UpstreamHealth::OnSuccess() { m_machine->process_event(Success{}); }

void UpstreamHealth::OnFailure(Time now) { m_machine->process_event(Failure{now}); }

void UpstreamHealth::OnTick(Time now) { m_machine->process_event(Tick{now}); }

bool UpstreamHealth::MayPlace(std::int64_t running) const {
  switch (m_machine->m_phase) {
    case HealthDef::Phase::kHealthy:
      return true;
    case HealthDef::Phase::kProbing:
      return running == 0;
    case HealthDef::Phase::kEjected:
      return false;
  }
  return false;
}

bool UpstreamHealth::IsEjected() const { return m_machine->m_phase == HealthDef::Phase::kEjected; }

}  // namespace jaymast
