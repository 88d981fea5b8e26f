#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cell/leader_record.h"
#include "cell/policy_port.h"

namespace jaymast {

/// Shows a follower who leads and that the leader makes progress.
struct Beat {
  LeaderRecord record;       ///< an empty address tells that the leader has handed over
  std::int64_t version = 0;  ///< of the leader row
};

std::string EncodeBeat(const Beat& beat);
std::optional<Beat> DecodeBeat(std::string_view text);

/// Announces a follower by its peer address.
std::string EncodeHello(const std::string& address);
std::optional<std::string> DecodeHello(std::string_view text);

std::string EncodeQuestion(const PolicyQuestion& question);
std::optional<PolicyQuestion> DecodeQuestion(std::string_view text);
std::string EncodeAnswer(const PolicyAnswer& answer);
std::optional<PolicyAnswer> DecodeAnswer(std::string_view text);

}  // namespace jaymast
