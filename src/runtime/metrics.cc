#include "runtime/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <boost/histogram.hpp>
#include <sstream>
#include <utility>
#include <vector>

namespace jaymast {
namespace {

namespace bh = boost::histogram;

constexpr int kBuckets = 36;
constexpr double kMinSeconds = 10e-6;
constexpr double kMaxSeconds = 10.0;

/// Histogram with logarithmic buckets and atomic counters, for concurrent updates.
auto MakeHistogram() {
  using Axis = bh::axis::regular<double, bh::axis::transform::log>;
  using Count = bh::accumulators::count<std::uint64_t, true>;
  return bh::make_histogram_with(bh::dense_storage<Count>(), Axis(kBuckets, kMinSeconds, kMaxSeconds));
}

prometheus::MetricFamily SingleValueFamily(const std::string& name, prometheus::MetricType type, double value) {
  prometheus::ClientMetric metric;
  metric.gauge.value = value;
  metric.counter.value = value;
  return {name, "", type, {metric}};
}

}  // namespace

struct Metrics::Histograms {
  struct Series {
    decltype(MakeHistogram()) histogram = MakeHistogram();
    std::atomic<std::int64_t> sum_micros = 0;
  };
  std::array<Series, EnumNames<Timing>::kNames.size()> by_timing;
};

Metrics::Metrics() : m_histograms(std::make_unique<Histograms>()) {}

Metrics::~Metrics() = default;

void Metrics::Observe(Timing timing, std::chrono::microseconds time) {
  Histograms::Series& series = m_histograms->by_timing.at(static_cast<std::size_t>(timing));
  series.histogram(std::chrono::duration<double>(time).count());
  series.sum_micros.fetch_add(time.count(), std::memory_order_relaxed);
}

void Metrics::CountResponse(Verdict verdict) {
  m_responses.at(static_cast<std::size_t>(verdict)).fetch_add(1, std::memory_order_relaxed);
}

std::string Metrics::Render(const Samples& samples) const {
  std::vector<prometheus::MetricFamily> families;
  for (std::size_t i = 0; i < m_histograms->by_timing.size(); ++i) {
    const Histograms::Series& series = m_histograms->by_timing.at(i);
    prometheus::ClientMetric metric;
    std::uint64_t cumulative = 0;
    for (const auto& cell : bh::indexed(series.histogram, bh::coverage::all)) {
      cumulative += cell->value();
      metric.histogram.bucket.push_back({cumulative, cell.bin().upper()});
    }
    metric.histogram.sample_count = cumulative;
    metric.histogram.sample_sum = std::chrono::duration<double>(std::chrono::microseconds(series.sum_micros)).count();
    const std::string name = "jaymast_" + std::string(ToString(static_cast<Timing>(i))) + "_seconds";
    families.push_back({name, "", prometheus::MetricType::Histogram, {metric}});
  }
  prometheus::MetricFamily responses{"jaymast_responses_total", "", prometheus::MetricType::Counter, {}};
  for (std::size_t i = 0; i < m_responses.size(); ++i) {
    prometheus::ClientMetric metric;
    metric.label = {{"verdict", std::string(ToString(static_cast<Verdict>(i)))}};
    metric.counter.value = static_cast<double>(m_responses.at(i).load());
    responses.metric.push_back(metric);
  }
  families.push_back(std::move(responses));
  for (const auto& [name, value] : samples.gauges) {
    families.push_back(SingleValueFamily(name, prometheus::MetricType::Gauge, value));
  }
  for (const auto& [name, value] : samples.counters) {
    families.push_back(SingleValueFamily(name, prometheus::MetricType::Counter, value));
  }
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, families);
  return out.str();
}

}  // namespace jaymast
