#pragma once

#include <array>
#include <string_view>

#include "base/enum_names.h"

namespace jaymast {

/// What the event loop of an instance works on.
enum class WorkKind {
  kClientCalls,
  kPeerMessages,  ///< requests of other instances, among them the calls that they relay
  kPeerReplies,
  kTicks,  ///< placement, orders and commits
};

template <>
struct EnumNames<WorkKind> {
  static constexpr std::array<std::string_view, 4> kNames = {"client_calls", "peer_messages", "peer_replies", "ticks"};
};

}  // namespace jaymast
