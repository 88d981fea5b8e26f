#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cell/leader_record.h"
#include "cell/policy_client.h"

namespace jaymast {

/// Shows a follower who leads and that the leader makes progress.
struct Beat {
  LeaderRecord record;       ///< an empty address tells that the leader has handed over
  std::int64_t version = 0;  ///< of the leader row
};

std::string EncodeBeat(const Beat& beat);
std::optional<Beat> DecodeBeat(std::string_view text);

/// Announces a follower.
struct Hello {
  std::string address;          ///< peer address
  std::int64_t cpu_millis = 0;  ///< processor share of the instance in thousandths of a core
};

std::string EncodeHello(const Hello& hello);
std::optional<Hello> DecodeHello(std::string_view text);

std::string EncodeQuestion(const PolicyRequest& question);
std::optional<PolicyRequest> DecodeQuestion(std::string_view text);
std::string EncodeAnswer(const PolicyReply& answer);
std::optional<PolicyReply> DecodeAnswer(std::string_view text);

}  // namespace jaymast
