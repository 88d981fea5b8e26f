#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cell/policy_port.h"

namespace jaymast {

/// Shows a follower who leads and that the leader makes progress.
struct Beat {
  std::string leader;  ///< peer address; empty tells that the leader has handed over
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
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
