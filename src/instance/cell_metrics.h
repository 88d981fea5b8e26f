#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "cell/cell_event_sink.h"

namespace jaymast {

/// Counts the events of an instance on their way to the log, so that metrics and log can't disagree.
///
/// Events that the log drops by its rate limit are counted too.
class CellMetrics : public CellEventSink {
 public:
  explicit CellMetrics(CellEventSink& log) : m_log(log) {}

  void Emit(std::string_view event, EventFields fields) override;

  /// All metrics in the text format of Prometheus.
  /// @param gauges values of this moment by their full name
  std::string Render(const std::map<std::string, double>& gauges) const;

 private:
  /// Upper bounds of the histogram in seconds: from one commit to the time after which a job is worth nothing.
  static constexpr std::array<double, 11> kBucketBoundsSeconds = {0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};

  struct LatencyHistogram {
    std::array<std::uint64_t, kBucketBoundsSeconds.size() + 1> counts{};
    double sum_s = 0;
  };
  struct Counter {
    std::map<std::string, std::uint64_t, std::less<>> by_reason;  ///< empty reason for events without one
    LatencyHistogram latencies;                                   ///< of events that tell a time
  };

  CellEventSink& m_log;
  std::map<std::string, Counter, std::less<>> m_counters;
};

}  // namespace jaymast
