#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/id.h"

namespace jaymast {

/// Run time of the tasks of one step on an upstream of unit slowness, as far as the runs of the step have shown it.
struct StepRunTime {
  double log_ms = 0;    ///< natural logarithm of the run time in ms
  double variance = 0;  ///< of `log_ms`, 0 while nothing is known
};

/// Run time of one task on one upstream, derived from its end or from its progress.
struct RunTimeSample {
  double run_ms = 0;          ///< of a complete run
  double relative_error = 0;  ///< standard error of `run_ms`, as a share of it
  double declared_ms = 0;     ///< declared run time, 0 if unknown
};

/// What is known about the speed of one upstream, to be kept for a successor.
struct LearnedSlowness {
  std::string service;
  UpstreamId upstream;
  std::int64_t incarnation = 0;
  double slowness = 0;  ///< natural logarithm of the run time compared with an upstream of mean speed
  double variance = 0;  ///< of `slowness`

  friend bool operator==(const LearnedSlowness&, const LearnedSlowness&) = default;
};

/// Estimates how fast upstreams run tasks compared with the mean upstream of their service.
///
/// Load pattern: upstreams of one service differ in speed by a factor of two or more, nothing in their listing says so,
/// and declared run times are wrong by a factor that all tasks of a step share. The model is
/// log(run time) = run time of the step + slowness of the upstream + noise. Each sample corrects both terms in
/// proportion to their variances (a Kalman filter that neglects covariances), so tasks of one step are compared with
/// each other as soon as two of them have run, and the declared time is only a weak prior of the first one.
class UpstreamSpeeds {
 public:
  /// Ignores a run time that is not positive and finite. A new incarnation is a new upstream.
  /// @param step run time of the step of the task, which the sample corrects
  /// @return whether the last samples of the upstream show that its speed has changed
  bool Observe(const std::string& service, const UpstreamId& upstream, std::int64_t incarnation,
               const RunTimeSample& sample, StepRunTime& step);

  /// Discards what is known about an upstream.
  void Forget(const UpstreamId& upstream);
  /// Discards what is known about an upstream unless it is of this incarnation.
  void SetIncarnation(const UpstreamId& upstream, std::int64_t incarnation);

  /// Returns what is known, in the order of upstreams.
  std::vector<LearnedSlowness> Export() const;
  /// Adds what an earlier leader has learned about upstreams without observations.
  void Load(const std::vector<LearnedSlowness>& learned);
  /// Whether the speed of an upstream differs by more than a tenth from the one at the last call of `MarkExported`, or
  /// from 1 if it was unknown then. As of the last refresh.
  bool HasChangedSinceExport() const;
  void MarkExported();

  /// Updates the speeds that `SpeedOf` returns, if there were observations since the last call.
  void Refresh();

  /// Speed relative to the mean upstream as of the last refresh: a task of 1 s takes 0.5 s at speed 2. 1 if nothing is
  /// known.
  double SpeedOf(const UpstreamId& upstream) const;

  /// Speed that the upstream exceeds with a probability of about 84%, as of the last refresh: one standard error below
  /// `SpeedOf`. Where upstreams are alike, that of an unknown one is 1 too.
  double LowSpeedOf(const std::string& service, const UpstreamId& upstream) const;

  /// Returns the run time of a step at mean speed in ms, 0 if nothing is known.
  double RunTimeAtMeanSpeed(const std::string& service, const StepRunTime& step) const;

  /// Upstreams with observations.
  std::size_t known() const { return m_upstreams.size(); }
  /// Standard deviation of the logarithms of the speeds, as of the last refresh.
  double spread() const { return m_spread; }

 private:
  struct Upstream {
    std::string service;
    std::int64_t incarnation = 0;
    double slowness = 0;  ///< logarithm of the run time compared with unit slowness
    double variance = 0;  ///< of `slowness`
    double trend = 0;     ///< running mean of the deviations of samples, in standard deviations
    double speed = 1;     ///< as of the last refresh
    double low_speed = 1;
    double exported_speed = 1;
  };

  struct Service {
    double mean_slowness = 0;  ///< slowness of an upstream of mean speed
    double spread = 0;         ///< variance of the slowness among upstreams
    double noise;              ///< variance of the run times within a step
  };

  Service& ServiceOf(const std::string& name);
  Upstream& UpstreamOf(const std::string& service, const UpstreamId& id, std::int64_t incarnation);

  std::unordered_map<std::string, Service> m_services;
  std::unordered_map<UpstreamId, Upstream> m_upstreams;
  double m_spread = 0;
  bool m_is_changed = false;
};

}  // namespace jaymast
