#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string_view>

#include "base/enum_names.h"

namespace jaymast {

/// Lifecycle state of an entry.
enum class EntryState {
  kJoining,     ///< reads the table and starts no tasks
  kRecovering,  ///< fences its upstreams and reads their reports
  kServing,
  kIsolated,  ///< the store was unreachable until the lease expired; only the runners' fences protect capacity
  kDraining,
  kStopped,
};

template <>
struct EnumNames<EntryState> {
  static constexpr std::array<std::string_view, 6> kNames = {"joining",  "recovering", "serving",
                                                             "isolated", "draining",   "stopped"};
};

/// Input of the lifecycle state machine.
enum class LifecycleEvent { kJoined, kRecovered, kStoreUnavailable, kStoreAvailable, kStopRequested, kDrained };

/// State machine of the lifecycle of an entry.
class Lifecycle {
 public:
  /// @param on_change called with each new state
  explicit Lifecycle(std::function<void(EntryState)> on_change);
  ~Lifecycle();
  Lifecycle(const Lifecycle&) = delete;
  Lifecycle& operator=(const Lifecycle&) = delete;

  /// Handles an event. An event without a transition from the current state is ignored.
  void Handle(LifecycleEvent event);

  EntryState state() const;

 private:
  class Machine;
  std::unique_ptr<Machine> m_machine;
};

}  // namespace jaymast
