#include "membership/lifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <utility>

namespace jaymast {
namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct Joined {};
struct Recovered {};
struct StoreUnavailable {};
struct StoreAvailable {};
struct StopRequested {};
struct Drained {};

template <EntryState kState>
struct StateOf : msm::front::state<> {
  template <typename Event, typename Fsm>
  void on_entry(const Event& /*event*/, Fsm& machine) {
    machine.Enter(kState);
  }
};

struct LifecycleDef : msm::front::state_machine_def<LifecycleDef> {
  using Joining = StateOf<EntryState::kJoining>;
  using Recovering = StateOf<EntryState::kRecovering>;
  using Serving = StateOf<EntryState::kServing>;
  using Isolated = StateOf<EntryState::kIsolated>;
  using Draining = StateOf<EntryState::kDraining>;
  using Stopped = StateOf<EntryState::kStopped>;
  using initial_state = Joining;

  // clang-format off
  // The name is required by Boost.MSM.
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table : boost::mpl::vector<
      Row<Joining,    Joined,           Recovering, none, none>,
      Row<Joining,    StopRequested,    Draining,   none, none>,
      Row<Recovering, Recovered,        Serving,    none, none>,
      Row<Recovering, StopRequested,    Draining,   none, none>,
      Row<Serving,    StoreUnavailable, Isolated,   none, none>,
      Row<Serving,    StopRequested,    Draining,   none, none>,
      Row<Isolated,   StoreAvailable,   Serving,    none, none>,
      Row<Isolated,   StopRequested,    Draining,   none, none>,
      Row<Draining,   Drained,          Stopped,    none, none>> {};
  // clang-format on

  template <typename Event, typename Fsm>
  void no_transition(const Event& /*event*/, Fsm& /*machine*/, int /*state*/) {}

  void Enter(EntryState state) {
    m_state = state;
    if (m_on_change) m_on_change(state);
  }

  EntryState m_state = EntryState::kJoining;
  std::function<void(EntryState)> m_on_change;
};

}  // namespace

class Lifecycle::Machine : public msm::back::state_machine<LifecycleDef> {};

Lifecycle::Lifecycle(std::function<void(EntryState)> on_change) : m_machine(std::make_unique<Machine>()) {
  m_machine->m_on_change = std::move(on_change);
  m_machine->start();
}

Lifecycle::~Lifecycle() = default;

void Lifecycle::Handle(LifecycleEvent event) {
  switch (event) {
    case LifecycleEvent::kJoined:
      m_machine->process_event(Joined{});
      return;
    case LifecycleEvent::kRecovered:
      m_machine->process_event(Recovered{});
      return;
    case LifecycleEvent::kStoreUnavailable:
      m_machine->process_event(StoreUnavailable{});
      return;
    case LifecycleEvent::kStoreAvailable:
      m_machine->process_event(StoreAvailable{});
      return;
    case LifecycleEvent::kStopRequested:
      m_machine->process_event(StopRequested{});
      return;
    case LifecycleEvent::kDrained:
      m_machine->process_event(Drained{});
      return;
  }
}

EntryState Lifecycle::state() const { return m_machine->m_state; }

}  // namespace jaymast
