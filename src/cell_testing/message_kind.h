#pragma once

#include <array>
#include <string_view>

#include "base/enum_names.h"

namespace jaymast {

/// What the processor of a simulated instance works on.
enum class MessageKind {
  kClientCall,   ///< received from a client, without relaying or deciding it
  kRelayedCall,  ///< received from another instance, without the decision
  kPeerMessage,  ///< heartbeats, join announcements and policy calls
  kPeerReply,
  kStoreReply,
  kFeedRead,  ///< reply of the store to a read of the feeds
  kUpstreamReply,
  kPolicyReply,
  kTimer,  ///< end of a time limit
  kTick,
};

template <>
struct EnumNames<MessageKind> {
  static constexpr std::array<std::string_view, 10> kNames = {
      "client_call", "relayed_call",   "peer_message", "peer_reply", "store_reply",
      "feed_read",   "upstream_reply", "policy_reply", "timer",      "tick"};
};

}  // namespace jaymast
