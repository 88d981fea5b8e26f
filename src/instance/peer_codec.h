#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "cell/leader_fitness.h"
#include "cell/leader_record.h"
#include "cell/policy_client.h"

namespace jaymast {

/// Tells a follower who leads and how far the leader has committed.
struct Heartbeat {
  LeaderRecord record;                  ///< the address is empty if the leader has handed over
  std::int64_t version = 0;             ///< of the leader row
  std::vector<std::string> forward_to;  ///< followers to which the receiver forwards the heartbeat
  /// Class of the fittest follower, whose attempt to take over the less fit ones await.
  LeaderClass fittest_class = LeaderClass::kFit;
  bool is_ready = true;                        ///< whether the leader can handle calls; an older version does not say
  std::int64_t config_version = 0;             ///< by which the leader decides, 0 if it does not say
  std::optional<Time> sent_at = std::nullopt;  ///< on the clock of the leader
};

/// Reply to a heartbeat: the followers that have answered a forwarded one since the last reply.
std::string EncodeHeartbeatReply(const std::set<std::string>& answered);
std::set<std::string> DecodeHeartbeatReply(std::string_view text);

std::string EncodeHeartbeat(const Heartbeat& heartbeat);
std::optional<Heartbeat> DecodeHeartbeat(std::string_view text);

/// Registers a follower with the leader.
struct JoinAnnouncement {
  std::string address;  ///< peer address
  LeaderFitness fitness;
};

std::string EncodeJoinAnnouncement(const JoinAnnouncement& announcement);
std::optional<JoinAnnouncement> DecodeJoinAnnouncement(std::string_view text);

std::string EncodePolicyRequest(const PolicyRequest& policy_request);
std::optional<PolicyRequest> DecodePolicyRequest(std::string_view text);
std::string EncodePolicyReply(const PolicyReply& policy_reply);
std::optional<PolicyReply> DecodePolicyReply(std::string_view text);

}  // namespace jaymast
