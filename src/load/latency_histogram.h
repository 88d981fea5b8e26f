#pragma once

#include <algorithm>
#include <boost/histogram.hpp>
#include <cstdint>
#include <tuple>

#include "base/time.h"

namespace jaymast {

/// Latencies from 1 us to 1000 s in bins of equal ratio, 1% wide.
class LatencyHistogram {
 public:
  void Add(Duration latency) {
    m_histogram(static_cast<double>(std::max<std::int64_t>(latency.count(), 1)));
    ++m_count;
  }

  std::int64_t count() const { return m_count; }

  /// Upper edge in microseconds of the bin that holds the quantile, or 0 when there is no latency.
  /// @param part of the latencies that are at most the answer, from 0 to 1
  double QuantileMicros(double part) const {
    const double wanted = part * static_cast<double>(m_count);
    double seen = 0;
    double edge = 0;
    for (const auto& bin : boost::histogram::indexed(m_histogram)) {
      if (*bin <= 0) continue;
      edge = bin.bin().upper();
      seen += *bin;
      if (seen >= wanted) break;
    }
    return edge;
  }

 private:
  static constexpr int kBins = 2083;  ///< ln(1e9) / ln(1.01)
  static constexpr double kMaxMicros = 1e9;

  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(Axis(kBins, 1.0, kMaxMicros)));

  Histogram m_histogram = boost::histogram::make_histogram(Axis(kBins, 1.0, kMaxMicros));
  std::int64_t m_count = 0;
};

}  // namespace jaymast
