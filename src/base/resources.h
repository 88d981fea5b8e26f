#pragma once

#include <cstdint>

namespace jaymast {

/// Amounts of each resource: the capacity of an upstream, or the demand of a task.
struct Resources {
  std::int64_t cpu_millis = 0;  ///< thousandths of a processor core
  std::int64_t memory_mb = 0;   ///< mebibytes
  std::int64_t accelerators = 0;
  std::int64_t slots = 0;  ///< places for concurrent tasks; a submitted task takes at least one

  Resources& operator+=(const Resources& other) {
    cpu_millis += other.cpu_millis;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    slots += other.slots;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpu_millis -= other.cpu_millis;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    slots -= other.slots;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend bool operator==(const Resources&, const Resources&) = default;

  /// Whether this demand fits into the given free capacity, for every resource.
  bool FitsIn(const Resources& free) const {
    return cpu_millis <= free.cpu_millis && memory_mb <= free.memory_mb && accelerators <= free.accelerators &&
           slots <= free.slots;
  }
};

}  // namespace jaymast
