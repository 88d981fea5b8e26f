#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

#include "base/resources.h"
#include "model/task_spec.h"

namespace jaymast {

/// Expected run time and resource usage of a task.
struct Estimate {
  std::int64_t run_ms = 0;  ///< 0 if unknown
  Resources size;           ///< expected peak usage
};

/// Estimates run time and resource usage per team and kind, as 90th percentiles over a window of finished tasks.
///
/// Declared values serve as a prior: they count as kPriorWeight observations until kMinObservations tasks have
/// finished.
class Estimator {
 public:
  /// Finished tasks kept for each team and kind.
  static constexpr std::size_t kWindow = 64;

  /// Weight of the declared values, in observations.
  static constexpr std::size_t kPriorWeight = 4;

  /// Observations from which the declared values no longer count. A 90th percentile needs at least 10.
  static constexpr std::size_t kMinObservations = 10;

  /// Maximum number of kinds over all teams. The least recently recorded kind is evicted first.
  static constexpr std::size_t kMaxKinds = 4096;

  void Record(const TaskSpec& spec, std::int64_t run_ms, const Resources& peak_usage);
  Estimate EstimateFor(const TaskSpec& spec) const;

  /// Whether kMinObservations tasks of the team and kind have finished, so that declared values no longer count.
  bool HasEnoughObservations(const TaskSpec& spec) const;

  std::size_t MemoryBytes() const;

 private:
  struct Observation {
    std::int64_t run_ms = 0;
    std::int64_t cpu_millis = 0;
    std::int64_t memory_mb = 0;
  };

  struct Kind {
    std::array<Observation, kWindow> window;
    std::size_t count = 0;  ///< observations in the window
    std::size_t next = 0;   ///< index that the next observation overwrites
    Estimate learned;       ///< percentiles of the window, without the prior
    std::list<std::string>::iterator lru_position;
  };

  static std::string KeyOf(const TaskSpec& spec);
  static std::int64_t Quantile(const Kind& kind, std::int64_t Observation::*member, std::int64_t declared,
                               std::size_t prior_weight);
  static Estimate Quantiles(const Kind& kind, const TaskSpec& spec, std::size_t prior_weight);
  Kind& Touch(const std::string& key);

  std::unordered_map<std::string, Kind> m_kinds;
  std::list<std::string> m_lru;  ///< keys, most recently recorded first
};

}  // namespace jaymast
