#include "placement/run_time_model.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace jaymast {
namespace {

/// Observations for which an exact declaration counts.
constexpr std::size_t kPriorObservations = 4;
/// Variance of the logarithms of the declared times of these observations: a factor of 1.65 either way.
constexpr double kPriorVariance = 0.25;
/// Residuals are clipped to a factor of 2.7 around their median, which a declared time that is wrong by 2.5 stays
/// below.
constexpr double kMaxResidual = 1.0;
constexpr std::size_t kHighPercentile = 90;

double Percentile(std::vector<double>& values, std::size_t percentile) {
  const std::size_t rank = std::max<std::size_t>(1, (values.size() * percentile + 99) / 100) - 1;
  const auto nth = values.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

/// Returns the mean of the values, each clipped around the median.
double RobustMean(std::vector<double> values) {
  const double median = Percentile(values, 50);
  double sum = 0;
  for (const double value : values) sum += std::clamp(value, median - kMaxResidual, median + kMaxResidual);
  return sum / static_cast<double>(values.size());
}

}  // namespace

void RunTimeModel::Record(const std::string& name, double declared_ms, double run_ms) {
  if (!std::isfinite(run_ms) || run_ms <= 0) return;
  Kind& kind = Touch(name);
  Observation& observation = kind.window[kind.next];
  const bool is_declared = std::isfinite(declared_ms) && declared_ms > 0;
  observation.declared = is_declared ? std::log(declared_ms) : std::numeric_limits<double>::quiet_NaN();
  observation.run = std::log(run_ms);
  kind.next = (kind.next + 1) % kWindow;
  kind.count = std::min(kind.count + 1, kWindow);
  Fit(kind);
}

void RunTimeModel::Fit(Kind& kind) {
  std::vector<double> runs;
  std::vector<double> errors;  // of the declared times
  double mean_declared = 0;
  for (std::size_t i = 0; i < kind.count; ++i) {
    const Observation& observation = kind.window.at(i);
    runs.push_back(observation.run);
    if (std::isnan(observation.declared)) continue;
    errors.push_back(observation.run - observation.declared);
    mean_declared += observation.declared;
  }
  const double mean_run = RobustMean(runs);
  for (double& run : runs) run -= mean_run;
  kind.mean_run = mean_run;
  kind.undeclared_high = Percentile(runs, kHighPercentile);
  if (errors.empty()) return;
  const auto count = static_cast<double>(errors.size());
  mean_declared /= count;
  const double mean_error = RobustMean(errors);
  const double offset = mean_error * count / (count + static_cast<double>(kPriorObservations));
  errors.resize(errors.size() + kPriorObservations, 0);
  kind.early_high = Percentile(errors, kHighPercentile);
  // The slope of the error on the declared time is -1 where the run time does not depend on it.
  double covariance = 0;
  double variance = static_cast<double>(kPriorObservations) * kPriorVariance;
  for (std::size_t i = 0; i < kind.count; ++i) {
    const Observation& observation = kind.window.at(i);
    if (std::isnan(observation.declared)) continue;
    const double error = observation.run - observation.declared - mean_error;
    const double distance = observation.declared - mean_declared;
    covariance += std::clamp(error, -kMaxResidual, kMaxResidual) * distance;
    variance += distance * distance;
  }
  const double slope = std::clamp(1 + covariance / variance, 0.0, 1.0);
  std::vector<double> residuals;
  for (std::size_t i = 0; i < kind.count; ++i) {
    const Observation& observation = kind.window.at(i);
    if (std::isnan(observation.declared)) continue;
    residuals.push_back(observation.run - mean_declared - offset - slope * (observation.declared - mean_declared));
  }
  kind.mean_declared = mean_declared;
  kind.offset = offset;
  kind.slope = slope;
  kind.high = Percentile(residuals, kHighPercentile);
}

RunTimePrediction RunTimeModel::Predict(const std::string& name, double declared_ms) const {
  const auto found = m_kinds.find(name);
  if (found == m_kinds.end()) return {declared_ms, declared_ms};
  const Kind& kind = found->second;
  if (declared_ms <= 0) return {std::exp(kind.mean_run), std::exp(kind.mean_run + kind.undeclared_high)};
  if (kind.count < kMinObservations) return {declared_ms, declared_ms * std::exp(kind.early_high)};
  const double log_ms = kind.mean_declared + kind.offset + kind.slope * (std::log(declared_ms) - kind.mean_declared);
  return {std::exp(log_ms), std::exp(log_ms + kind.high)};
}

bool RunTimeModel::HasEnoughObservations(const std::string& name) const {
  const auto found = m_kinds.find(name);
  return found != m_kinds.end() && found->second.count >= kMinObservations;
}

void RunTimeModel::Forget(const std::string& name) {
  const auto found = m_kinds.find(name);
  if (found == m_kinds.end()) return;
  m_lru.erase(found->second.lru_position);
  m_kinds.erase(found);
}

std::size_t RunTimeModel::MemoryBytes() const {
  constexpr std::size_t kNodeBytes = 64;  // overhead of the hash table node and the list node
  std::size_t bytes = sizeof(*this);
  for (const auto& [name, kind] : m_kinds) {
    bytes += sizeof(Kind) + 2 * (sizeof(std::string) + name.capacity()) + kNodeBytes;
  }
  return bytes;
}

RunTimeModel::Kind& RunTimeModel::Touch(const std::string& name) {
  const auto known = m_kinds.find(name);
  if (known != m_kinds.end()) {
    m_lru.splice(m_lru.begin(), m_lru, known->second.lru_position);
    return known->second;
  }
  if (m_kinds.size() >= kMaxKinds) {
    m_kinds.erase(m_lru.back());
    m_lru.pop_back();
  }
  m_lru.push_front(name);
  Kind& kind = m_kinds[name];
  kind.lru_position = m_lru.begin();
  return kind;
}

}  // namespace jaymast
