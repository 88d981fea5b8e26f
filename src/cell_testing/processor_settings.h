#pragma once

#include <array>
#include <cstddef>

#include "base/enum_names.h"
#include "base/time.h"
#include "cell_testing/message_kind.h"

namespace jaymast {

/// Processor time of the work of a simulated instance.
struct ProcessorSettings {
  static constexpr std::size_t kKinds = EnumNames<MessageKind>::kNames.size();

  Duration CostOf(MessageKind kind) const { return costs.at(static_cast<std::size_t>(kind)); }

  /// Processor time of the leader for a call that another instance relays.
  Duration RelayedCallCost() const { return CostOf(MessageKind::kRelayedCall) + decision_cost; }

  /// By kind, without the decision of a call and the requests that follow.
  std::array<Duration, kKinds> costs = {Duration(100), Duration(200), Duration(100), Duration(100), Duration(100),
                                        Duration(500), Duration(50),  Duration(50),  Duration(5),   Duration(200)};
  Duration decision_cost{800};     ///< of a call that reaches the scheduler of the leader
  Duration send_cost{100};         ///< of a request to another instance
  Duration piece_cost{20};         ///< of reading a piece of a message that is not the last one
  std::size_t bytes_per_turn = 0;  ///< bytes of a message that are read in one turn of the inbox; 0 for all
  bool are_timers_first = false;   ///< ticks and time limits that are due are handled before messages
};

}  // namespace jaymast
