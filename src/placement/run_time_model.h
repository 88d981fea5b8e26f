#pragma once

#include <string>

namespace jaymast {

/// Expected run time of a task at mean upstream speed, in ms.
struct RunTimePrediction {
  double expected_ms = 0;
  double high_ms = 0;  ///< 90th percentile
};

/// Predicts run times from finished tasks of the same kind and from the declared run time.
class RunTimeModel {
 public:
  /// @param run_ms observed run time at mean upstream speed
  void Record(const std::string& kind, double declared_ms, double run_ms);

  /// Returns the declared run time while too few tasks of the kind have finished.
  RunTimePrediction Predict(const std::string& kind, double declared_ms) const;
};

}  // namespace jaymast
