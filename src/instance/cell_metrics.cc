#include "instance/cell_metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <sstream>
#include <vector>

namespace jaymast {
namespace {

/// Further reasons are counted as `kOtherReason`, which bounds the label cardinality.
constexpr std::size_t kMaxReasonsPerEvent = 20;
constexpr std::string_view kOtherReason = "other";

constexpr std::string_view kElapsedField = "after_ms";
constexpr std::string_view kReasonField = "reason";

}  // namespace

void CellMetrics::Emit(std::string_view event, EventFields fields) {
  auto found = m_counters.find(event);
  if (found == m_counters.end()) found = m_counters.emplace(std::string(event), Counter{}).first;
  Counter& counter = found->second;
  std::string_view reason;
  for (const auto& [name, value] : fields) {
    if (name == kReasonField) reason = value;
    if (name != kElapsedField) continue;
    std::int64_t elapsed_ms = 0;
    const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), elapsed_ms);
    if (ec != std::errc()) continue;
    const double seconds = static_cast<double>(elapsed_ms) / 1000.0;
    const auto bound = std::lower_bound(kBucketBoundsSeconds.begin(), kBucketBoundsSeconds.end(), seconds);
    ++counter.latencies.counts.at(static_cast<std::size_t>(bound - kBucketBoundsSeconds.begin()));
    counter.latencies.sum_s += seconds;
  }
  auto by_reason = counter.by_reason.find(reason);
  if (by_reason == counter.by_reason.end()) {
    if (counter.by_reason.size() >= kMaxReasonsPerEvent) reason = kOtherReason;
    by_reason = counter.by_reason.try_emplace(std::string(reason), 0).first;
  }
  ++by_reason->second;
  m_log.Emit(event, fields);
}

std::string CellMetrics::Render(const std::map<std::string, double>& gauges) const {
  prometheus::MetricFamily events{
      "jaymast_events_total", "Events by id and reason.", prometheus::MetricType::Counter, {}};
  prometheus::MetricFamily latencies{
      "jaymast_event_seconds", "Time since acceptance at events that tell it.", prometheus::MetricType::Histogram, {}};
  for (const auto& [event, counter] : m_counters) {
    for (const auto& [reason, count] : counter.by_reason) {
      prometheus::ClientMetric metric;
      metric.label = {{"event", event}};
      if (!reason.empty()) metric.label.push_back({"reason", reason});
      metric.counter.value = static_cast<double>(count);
      events.metric.push_back(std::move(metric));
    }
    prometheus::ClientMetric metric;
    metric.label = {{"event", event}};
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < counter.latencies.counts.size(); ++i) {
      cumulative += counter.latencies.counts.at(i);
      const double bound =
          i < kBucketBoundsSeconds.size() ? kBucketBoundsSeconds.at(i) : std::numeric_limits<double>::infinity();
      metric.histogram.bucket.push_back({cumulative, bound});
    }
    if (cumulative == 0) continue;
    metric.histogram.sample_count = cumulative;
    metric.histogram.sample_sum = counter.latencies.sum_s;
    latencies.metric.push_back(std::move(metric));
  }
  std::vector<prometheus::MetricFamily> families;
  if (!events.metric.empty()) families.push_back(std::move(events));
  if (!latencies.metric.empty()) families.push_back(std::move(latencies));
  for (const auto& [name, value] : gauges) {
    prometheus::ClientMetric metric;
    metric.gauge.value = value;
    families.push_back({name, "", prometheus::MetricType::Gauge, {metric}});
  }
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, families);
  return out.str();
}

}  // namespace jaymast
