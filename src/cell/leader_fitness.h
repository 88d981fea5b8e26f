#pragma once

#include <cstdint>

namespace jaymast {

/// Suitability of an instance as the leader, in ascending order.
enum class LeaderClass { kShortOfProcessor, kShortOfLink, kFit };

/// Resources of an instance that limit how many upstreams it can lead.
struct LeaderFitness {
  std::int64_t cpu_millis = 0;  ///< processor share in thousandths of a core
  std::int64_t link_mbps = 0;   ///< bandwidth of the link in Mbit/s in each direction; 0 means no limit

  LeaderClass GetClass() const {
    if (cpu_millis < kMinCpuMillis) return LeaderClass::kShortOfProcessor;
    return link_mbps > 0 && link_mbps < kMinLinkMbps ? LeaderClass::kShortOfLink : LeaderClass::kFit;
  }

  /// Whether this instance, as the leader, yields to the other one. Two instances never yield to each other.
  bool YieldsTo(const LeaderFitness& other) const {
    if (GetClass() != other.GetClass()) return GetClass() < other.GetClass();
    return other.cpu_millis > cpu_millis && other.cpu_millis >= kYieldCpuFactor * cpu_millis;
  }

  /// A leader uses 0.2 cores at 350 upstreams.
  static constexpr std::int64_t kMinCpuMillis = 200;
  /// A leader of 350 upstreams uses several Mbit/s in both directions. At 10 Mbit/s a log of 283 KB took 0.67 s to
  /// read.
  static constexpr std::int64_t kMinLinkMbps = 50;
  /// Within a class a smaller difference in processor share is not worth a takeover.
  static constexpr std::int64_t kYieldCpuFactor = 2;
};

}  // namespace jaymast
