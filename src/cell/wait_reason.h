#pragma once

#include <array>
#include <string_view>

#include "base/enum_names.h"

namespace jaymast {

/// Why nothing of a step runs although its turn has come.
enum class WaitReason {
  kOrdersOpen,      ///< starts or stops of its tasks have no result yet
  kTeamLimit,       ///< the limit of its organisation
  kNoUpstream,      ///< no usable upstream of its service
  kDenied,          ///< the policy denies the upstreams that have capacity
  kNoCapacity,      ///< the upstreams that may run it are full
  kReserved,        ///< the upstreams with capacity are reserved for a gang
  kRack,            ///< a gang waits for capacity on one rack
  kPolicyCallOpen,  ///< a policy call has no reply yet
  kNoPolicyCaller,  ///< all instances are busy with policy calls, or paused after a lost one
  kNoTicket,        ///< an instance is free, but no call was made yet
};

template <>
struct EnumNames<WaitReason> {
  static constexpr std::array<std::string_view, 10> kNames = {
      "orders_open", "team_limit", "no_upstream", "denied",           "no_capacity",
      "reserved",    "rack",       "policy_call", "no_policy_caller", "no_ticket"};
};

}  // namespace jaymast
