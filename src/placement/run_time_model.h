#pragma once

#include <array>
#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>

namespace jaymast {

/// Expected run time of a task at mean upstream speed, in ms. 0 if unknown.
struct RunTimePrediction {
  double expected_ms = 0;  ///< median
  double high_ms = 0;      ///< 90th percentile
};

/// Predicts run times from finished tasks of the same kind and from the declared run time.
///
/// Load pattern: declared times that are wrong by a factor, different for each step, so that they say more or less
/// about the run time depending on the kind of work. For each kind the logarithm of the run time is regressed on the
/// logarithm of the declared time over a window of finished tasks: where both correlate, the prediction follows the
/// declared time, corrected by the mean error of the kind; where they do not, it is the mean of the kind. Both
/// coefficients start at those of an exact declaration, which counts as a few observations. Residuals are clipped, so
/// that a few tasks of many times the usual run time do not change the prediction of the others.
class RunTimeModel {
 public:
  /// Finished tasks kept for each kind.
  static constexpr std::size_t kWindow = 64;
  /// The least recently recorded kind is evicted first.
  static constexpr std::size_t kMaxKinds = 4096;
  /// Observations from which predictions differ from the declared time. A 90th percentile needs at least 10.
  static constexpr std::size_t kMinObservations = 10;

  /// Ignores a run time that is not positive and finite.
  /// @param declared_ms declared run time, 0 if unknown
  /// @param run_ms observed run time at mean upstream speed
  void Record(const std::string& kind, double declared_ms, double run_ms);

  /// Returns the declared run time while too few tasks of the kind have finished. An undeclared one is predicted from
  /// the first task on.
  RunTimePrediction Predict(const std::string& kind, double declared_ms) const;

  /// Whether kMinObservations tasks of the kind have finished.
  bool HasEnoughObservations(const std::string& kind) const;

  /// Discards all observations of a kind.
  void Forget(const std::string& kind);

  std::size_t kinds() const { return m_kinds.size(); }
  std::size_t MemoryBytes() const;

 private:
  /// Natural logarithms of times in ms.
  struct Observation {
    double declared = 0;  ///< NaN if unknown
    double run = 0;
  };

  struct Kind {
    std::array<Observation, kWindow> window;
    std::size_t count = 0;  ///< observations in the window
    std::size_t next = 0;   ///< index that the next observation overwrites
    double mean_declared = 0;
    double mean_run = 0;  ///< of an undeclared task
    double offset = 0;    ///< of the run time at the mean declared time
    double slope = 1;     ///< weight of the declared time
    double high = 0;      ///< 90th percentile of the residuals of the prediction
    double undeclared_high = 0;
    double early_high = 0;  ///< 90th percentile of the errors of the declared times and of a few exact ones
    std::list<std::string>::iterator lru_position;
  };

  static void Fit(Kind& kind);
  Kind& Touch(const std::string& name);

  std::unordered_map<std::string, Kind> m_kinds;
  std::list<std::string> m_lru;  ///< kinds, most recently recorded first
};

}  // namespace jaymast
