#pragma once

#include <algorithm>
#include <cstdint>

#include "base/resources.h"

namespace jaymast {

/// Packs rounded resource amounts into one machine word, for a fast conservative check of whether a demand fits.
///
/// Each amount has 15 bits and a guard bit. Free amounts are rounded up and demands down, so the check has no false
/// negatives; false positives are possible.
class PackedResources {
 public:
  static PackedResources OfFree(const Resources& free) {
    return PackedResources(Pack(free, kCpuUnit - 1, kMemoryUnit - 1) | kGuards);
  }
  static PackedResources OfDemand(const Resources& demand) { return PackedResources(Pack(demand, 0, 0)); }

  /// Whether this demand may fit into the free amounts. False means that it does not fit.
  bool MayFitIn(PackedResources free) const { return ((free.m_bits - m_bits) & kGuards) == kGuards; }

  PackedResources() = default;

 private:
  static constexpr std::uint64_t kGuards = 0x8000'8000'8000'8000;
  static constexpr std::int64_t kLargest = 0x7fff;
  static constexpr std::int64_t kCpuUnit = 32;     ///< thousandths of a core; 15 bits hold 1,048 cores
  static constexpr std::int64_t kMemoryUnit = 64;  ///< MB; 15 bits hold 2 TB

  explicit PackedResources(std::uint64_t bits) : m_bits(bits) {}

  static std::uint64_t Lane(std::int64_t amount, int lane) {
    return static_cast<std::uint64_t>(std::clamp<std::int64_t>(amount, 0, kLargest)) << (16 * lane);
  }
  static std::uint64_t Pack(const Resources& resources, std::int64_t cpu_rounding, std::int64_t memory_rounding) {
    return Lane((resources.cpu_millis + cpu_rounding) / kCpuUnit, 0) |
           Lane((resources.memory_mb + memory_rounding) / kMemoryUnit, 1) | Lane(resources.accelerators, 2) |
           Lane(resources.slots, 3);
  }

  std::uint64_t m_bits = 0;
};

}  // namespace jaymast
