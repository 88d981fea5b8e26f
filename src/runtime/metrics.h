#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "base/verdict.h"

namespace jaymast {

/// Latencies that are recorded in histograms.
enum class Timing {
  kPreview,       ///< from the arrival of a preview to its response
  kDecision,      ///< work of the control thread on one request of a client or operator
  kTableCall,     ///< from a call of the table service to its result
  kUpstreamCall,  ///< from a call of a runner to its result
};

template <>
struct EnumNames<Timing> {
  static constexpr std::array<std::string_view, 4> kNames = {"preview", "decision", "table_call", "upstream_call"};
};

/// Collects and renders the metrics of the process. All functions may be called on any thread.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  void Observe(Timing timing, std::chrono::microseconds time);
  void CountResponse(Verdict verdict);

  /// Current values of gauges and counters that are kept elsewhere, by metric name.
  struct Samples {
    std::map<std::string, double> gauges;
    std::map<std::string, double> counters;
  };

  /// Renders all metrics in the Prometheus text format.
  std::string Render(const Samples& samples) const;

 private:
  struct Histograms;

  const std::unique_ptr<Histograms> m_histograms;
  std::array<std::atomic<std::uint64_t>, EnumNames<Verdict>::kNames.size()> m_responses{};
};

}  // namespace jaymast
