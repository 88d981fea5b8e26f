#include "placement/upstream_speeds.h"

#include <algorithm>
#include <cmath>

namespace jaymast {
namespace {

// Variances of natural logarithms: a standard deviation of 0.5 is a factor of 1.65 either way.

/// Slowness of an upstream without observations; upstreams of one service differ by a factor of up to three.
constexpr double kInitialVariance = 0.25;
/// Run time of a step compared with the declared one, which is wrong by a factor of up to 2.5.
constexpr double kDeclaredVariance = 0.25;
/// Run time of a step without a declared one.
constexpr double kUndeclaredVariance = 9;
/// Added to the variance of an upstream with each sample, so that its estimate follows changes. With a noise of 0.2 the
/// newest sample has a weight of a quarter.
constexpr double kDriftVariance = 0.003;
/// Variance of an upstream after samples that show that its speed has changed.
constexpr double kChangedVariance = 0.25;
/// Samples are clipped to this many standard deviations. A few in 100 tasks take several times as long as the others of
/// their step.
constexpr double kMaxDeviations = 2.0;
/// Weight of a sample in the trend, the running mean of the deviations of an upstream.
constexpr double kTrendGain = 0.3;
/// Bound of a deviation in the trend, so that three tasks in a row that take several times as long do not count as a
/// change of the upstream.
constexpr double kMaxTrendDeviations = 2.5;
/// A trend beyond this shows that the speed has changed. It is four standard deviations of the trend of independent
/// samples, and is reached with the fourth sample at the bound.
constexpr double kChangedTrend = 1.65;
constexpr double kInitialNoise = 0.04;
constexpr double kMinNoise = 0.0009;
constexpr double kMaxNoise = 0.25;
/// Weight of a sample in the estimate of the noise.
constexpr double kNoiseGain = 0.02;
/// Half of all normally distributed samples deviate by less than this many standard deviations.
constexpr double kMedianDeviation = 0.6745;
constexpr double kMinGain = 0.05;
/// A speed that deviates from the mean by this many standard deviations is reported although the other upstreams are
/// alike.
constexpr double kSignificantDeviations = 3.0;
/// Variance of the slowness among upstreams, without that of the estimates, below which they count as alike: placement
/// by differences of less than a fifth would follow noise and fill upstreams less well.
constexpr double kMinSpread = 0.04;
/// Least deviation of a single upstream from others that are alike.
constexpr double kMinOutlier = 0.4;
/// A speed that has changed by more than this share is worth writing for a successor.
constexpr double kExportedChange = 0.1;

/// Returns which share of its true slowness the estimate of an upstream shows on average.
double GainOf(double variance) { return std::max(kMinGain, 1 - variance / kInitialVariance); }

}  // namespace

bool UpstreamSpeeds::Observe(const std::string& service_name, const UpstreamId& id, std::int64_t incarnation,
                             const RunTimeSample& sample, StepRunTime& step) {
  if (!std::isfinite(sample.run_ms) || sample.run_ms <= 0) return false;
  Service& service = ServiceOf(service_name);
  Upstream& upstream = UpstreamOf(service_name, id, incarnation);
  const double log_ms = std::log(sample.run_ms);
  if (step.variance <= 0) {
    step = sample.declared_ms > 0 ? StepRunTime{std::log(sample.declared_ms), kDeclaredVariance}
                                  : StepRunTime{log_ms - upstream.slowness, kUndeclaredVariance};
  }
  upstream.variance = std::min(kInitialVariance, upstream.variance + kDriftVariance);
  const double noise = service.noise + sample.relative_error * sample.relative_error;
  double total = step.variance + upstream.variance + noise;
  const double residual = log_ms - step.log_ms - upstream.slowness;
  const double deviations = residual / std::sqrt(total);
  upstream.trend += (std::clamp(deviations, -kMaxTrendDeviations, kMaxTrendDeviations) - upstream.trend) * kTrendGain;
  const bool has_changed = std::abs(upstream.trend) > kChangedTrend;
  if (has_changed) {
    upstream.trend = 0;
    upstream.variance = kChangedVariance;
    total = step.variance + upstream.variance + noise;
  }
  const double limit = kMaxDeviations * std::sqrt(total);
  const double correction = std::clamp(residual, -limit, limit) / total;
  upstream.slowness += upstream.variance * correction;
  step.log_ms += step.variance * correction;
  upstream.variance -= upstream.variance * upstream.variance / total;
  step.variance -= step.variance * step.variance / total;
  // The median is robust against a long tail.
  const double change = std::abs(deviations) > kMedianDeviation ? kNoiseGain : -kNoiseGain;
  service.noise = std::clamp(service.noise * std::exp(change), kMinNoise, kMaxNoise);
  m_is_changed = true;
  return has_changed;
}

void UpstreamSpeeds::Forget(const UpstreamId& id) { m_is_changed |= m_upstreams.erase(id) > 0; }

void UpstreamSpeeds::SetIncarnation(const UpstreamId& id, std::int64_t incarnation) {
  const auto found = m_upstreams.find(id);
  if (found != m_upstreams.end() && found->second.incarnation != incarnation) Forget(id);
}

std::vector<LearnedSlowness> UpstreamSpeeds::Export() const {
  std::vector<LearnedSlowness> learned;
  for (const auto& [id, upstream] : m_upstreams) {
    const double mean_slowness = m_services.at(upstream.service).mean_slowness;
    learned.push_back(
        {upstream.service, id, upstream.incarnation, upstream.slowness - mean_slowness, upstream.variance});
  }
  std::sort(learned.begin(), learned.end(), [](const auto& a, const auto& b) { return a.upstream < b.upstream; });
  return learned;
}

void UpstreamSpeeds::Load(const std::vector<LearnedSlowness>& learned) {
  for (const LearnedSlowness& entry : learned) {
    if (m_upstreams.contains(entry.upstream)) continue;
    Upstream& upstream = UpstreamOf(entry.service, entry.upstream, entry.incarnation);
    upstream.slowness += entry.slowness;
    upstream.variance = std::clamp(entry.variance, kDriftVariance, kInitialVariance);
    m_is_changed = true;
  }
}

bool UpstreamSpeeds::HasChangedSinceExport() const {
  return std::any_of(m_upstreams.begin(), m_upstreams.end(), [](const auto& entry) {
    return std::abs(entry.second.speed - entry.second.exported_speed) > kExportedChange * entry.second.exported_speed;
  });
}

void UpstreamSpeeds::MarkExported() {
  for (auto& [id, upstream] : m_upstreams) upstream.exported_speed = upstream.speed;
}

void UpstreamSpeeds::Refresh() {
  if (!m_is_changed) return;
  m_is_changed = false;
  struct Sums {
    double count = 0;
    double speed = 0;
    double slowness = 0;
    double squared_slowness = 0;
    double noise = 0;  // of the estimates, if all upstreams were alike
    double squared_gain = 0;
  };
  std::unordered_map<std::string, Sums> sums;
  for (const auto& [id, upstream] : m_upstreams) {
    Sums& sum = sums[upstream.service];
    ++sum.count;
    sum.speed += std::exp(-upstream.slowness);
    sum.slowness += upstream.slowness;
    sum.squared_slowness += upstream.slowness * upstream.slowness;
    const double gain = GainOf(upstream.variance);
    sum.noise += upstream.variance * gain;
    sum.squared_gain += gain * gain;
  }
  for (const auto& [name, of_service] : sums) {
    Service& service = ServiceOf(name);
    service.mean_slowness = -std::log(of_service.speed / of_service.count);
    const double deviations =
        of_service.squared_slowness - of_service.slowness * of_service.slowness / of_service.count;
    service.spread = std::max(0.0, (deviations - of_service.noise) / of_service.squared_gain);
  }
  double sum = 0;
  double squared_sum = 0;
  for (auto& [id, upstream] : m_upstreams) {
    const Service& service = ServiceOf(upstream.service);
    const double difference = upstream.slowness - service.mean_slowness;
    const bool are_alike = service.spread < kMinSpread;
    const double least = std::max(are_alike ? kMinOutlier : 0.0, kSignificantDeviations * std::sqrt(upstream.variance));
    const bool is_significant = std::abs(difference) > least;
    // Where upstreams are alike, differences are noise. Where they are not, the estimates of those with few samples are
    // still close to the mean.
    const double likely =
        are_alike ? 0 : service.spread / (GainOf(upstream.variance) * service.spread + upstream.variance);
    const double weight = is_significant ? std::max(1.0, likely) : likely;
    upstream.speed = std::exp(-difference * weight);
    upstream.low_speed = upstream.speed * std::exp(-std::sqrt(likely * upstream.variance));
    sum += difference * weight;
    squared_sum += difference * difference * weight * weight;
  }
  const double count = std::max(1.0, static_cast<double>(m_upstreams.size()));
  m_spread = std::sqrt(std::max(0.0, squared_sum / count - sum * sum / (count * count)));
}

double UpstreamSpeeds::SpeedOf(const UpstreamId& id) const {
  const auto found = m_upstreams.find(id);
  return found == m_upstreams.end() ? 1 : found->second.speed;
}

double UpstreamSpeeds::LowSpeedOf(const std::string& service, const UpstreamId& id) const {
  const auto found = m_upstreams.find(id);
  if (found != m_upstreams.end()) return found->second.low_speed;
  const auto known_service = m_services.find(service);
  if (known_service == m_services.end() || known_service->second.spread < kMinSpread) return 1;
  return std::exp(-std::sqrt(known_service->second.spread));
}

double UpstreamSpeeds::RunTimeAtMeanSpeed(const std::string& service, const StepRunTime& step) const {
  if (step.variance <= 0) return 0;
  const auto found = m_services.find(service);
  return std::exp(step.log_ms + (found == m_services.end() ? 0 : found->second.mean_slowness));
}

UpstreamSpeeds::Service& UpstreamSpeeds::ServiceOf(const std::string& name) {
  return m_services.try_emplace(name, Service{0, 0, kInitialNoise}).first->second;
}

UpstreamSpeeds::Upstream& UpstreamSpeeds::UpstreamOf(const std::string& service, const UpstreamId& id,
                                                     std::int64_t incarnation) {
  Upstream& upstream = m_upstreams[id];
  if (upstream.variance > 0 && upstream.incarnation == incarnation && upstream.service == service) return upstream;
  upstream = Upstream{};
  upstream.service = service;
  upstream.incarnation = incarnation;
  upstream.slowness = ServiceOf(service).mean_slowness;
  upstream.variance = kInitialVariance;
  return upstream;
}

}  // namespace jaymast
