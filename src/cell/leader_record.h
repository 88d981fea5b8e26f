#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jaymast {

inline constexpr const char* kLeaderTable = "cell";
inline constexpr const char* kLeaderKey = "leader";

/// The row that every transaction of the leader depends on and rewrites.
struct LeaderRecord {
  std::uint64_t epoch = 0;     ///< number of the takeover
  std::uint64_t sequence = 0;  ///< number of the transaction within the epoch
  std::string address;         ///< peer address of the leader, empty when it handed over
  std::string successor;       ///< peer address that is asked to take over first, or empty

  friend bool operator==(const LeaderRecord&, const LeaderRecord&) = default;
};

std::string EncodeLeaderRecord(const LeaderRecord& record);
std::optional<LeaderRecord> DecodeLeaderRecord(std::string_view text);

}  // namespace jaymast
