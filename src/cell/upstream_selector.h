#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cell/upstream_state.h"

namespace jaymast {

/// An upstream that can run tasks of a step.
struct UpstreamOption {
  UpstreamState* upstream = nullptr;
  std::int64_t slots = 0;  ///< tasks of the step that fit into its free capacity
  double speed = 1;        ///< relative to the mean upstream
  double low_speed = 1;    ///< exceeded with high probability; decides whether the upstream is fast enough
  double free_share = 0;   ///< of its capacity, summed over CPU and memory
  int penalty = 0;         ///< upstreams with the lowest penalty are chosen, whatever their speed
};

/// Chooses upstreams for tasks by speed: the slowest on which the job is expected to be in time, or else the fastest.
///
/// Load pattern: upstreams of very different speeds, where urgent work is in time only on the fast ones and other work
/// would fill these first. Speeds within a quarter of each other count as equal, as estimates are not more precise, and
/// among equal ones the fullest is chosen, which avoids fragmentation.
class UpstreamSelector {
 public:
  /// @param required_speed lowest speed at which the job is expected to be in time
  explicit UpstreamSelector(double required_speed) : m_required_speed(required_speed) {}

  /// Returns the option for one task, or nullptr if none has a slot.
  UpstreamOption* ChooseForTask(std::vector<UpstreamOption>& options) const;

  /// Removes and orders options such that the first `task_count` slots hold the gang. A gang is as slow as its slowest
  /// member, so of the sets that are in time the one is chosen that uses the least capacity, weighted by speed; if
  /// there is none, the one with the fastest slowest member.
  /// @param options with at least `task_count` slots in all; penalties are ignored
  void ChooseForGang(std::vector<UpstreamOption>& options, std::int64_t task_count) const;

  bool IsSufficient(double low_speed) const { return low_speed >= m_required_speed; }

 private:
  /// Class of speeds that count as equal, higher for faster ones.
  static int ClassOf(double speed);
  bool IsBetter(const UpstreamOption& a, const UpstreamOption& b) const;

  double m_required_speed;
};

}  // namespace jaymast
