#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jaymast {

inline constexpr const char* kLeaderTable = "cell";
inline constexpr const char* kLeaderKey = "leader";

/// The leader row, which guards every transaction of the leader and is rewritten by it.
struct LeaderRecord {
  std::uint64_t epoch = 0;     ///< number of the takeover
  std::uint64_t sequence = 0;  ///< number of the transaction within the epoch
  std::string address;         ///< peer address of the leader, empty after a handover
  std::string successor;       ///< peer address of the preferred next leader, or empty
  /// Consecutive terms that handed over because they did not become ready, up to the last ready one.
  std::int64_t unready_terms = 0;

  friend bool operator==(const LeaderRecord&, const LeaderRecord&) = default;
};

std::string EncodeLeaderRecord(const LeaderRecord& record);
std::optional<LeaderRecord> DecodeLeaderRecord(std::string_view text);

}  // namespace jaymast
