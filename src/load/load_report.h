#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "load/latency_histogram.h"
#include "load/work_stream.h"

namespace jaymast {

/// Results of one stream.
struct StreamReport {
  std::map<std::string, std::int64_t> outcomes;  ///< requests by verdict and error id
  std::int64_t wrong_answers = 0;                ///< answers that were cut or belong to another request
  std::int64_t good_answers = 0;
  /// From the scheduled time, of good answers and of requests without an answer. The latter count with the time until
  /// they were given up, because slow requests that drop out would make the rest look fast.
  LatencyHistogram latency;
};

/// Results of a run.
class LoadReport {
 public:
  StreamReport& Of(WorkStream stream) { return m_streams.at(static_cast<std::size_t>(stream)); }
  const StreamReport& Of(WorkStream stream) const { return m_streams.at(static_cast<std::size_t>(stream)); }

  std::int64_t wrong_answers() const;

  /// Latency of previews less that of the baseline at a quantile, in microseconds.
  double AddedMicros(double part) const;

  std::string ToTable() const;
  std::string ToJsonText() const;

 private:
  bool HasComparison() const;

  std::array<StreamReport, EnumNames<WorkStream>::kNames.size()> m_streams;
};

}  // namespace jaymast
