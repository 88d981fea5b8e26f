#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "cell/cell_event_sink.h"

namespace jaymast {

/// Counts events and forwards them to the log, so that metrics and log agree.
///
/// Events that the log's rate limit drops are counted too.
class CellMetrics : public CellEventSink {
 public:
  explicit CellMetrics(CellEventSink& log) : m_log(log) {}

  void Emit(std::string_view event, EventFields fields) override;

  /// Renders all metrics in the Prometheus text format.
  /// @param gauges current values by full metric name
  std::string Render(const std::map<std::string, double>& gauges) const;

 private:
  /// Upper bounds of the histogram buckets, from the duration of one commit to the hard deadline of a job.
  static constexpr std::array<double, 11> kBucketBoundsSeconds = {0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};

  struct LatencyHistogram {
    std::array<std::uint64_t, kBucketBoundsSeconds.size() + 1> counts{};
    double sum_s = 0;
  };
  struct Counter {
    std::map<std::string, std::uint64_t, std::less<>> by_reason;  ///< key is empty for events without a reason
    LatencyHistogram latencies;                                   ///< of events with a duration
  };

  CellEventSink& m_log;
  std::map<std::string, Counter, std::less<>> m_counters;
};

}  // namespace jaymast
