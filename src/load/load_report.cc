#include "load/load_report.h"

#include <fmt/format.h>

#include <boost/json.hpp>

namespace jaymast {
namespace {

constexpr double kMedian = 0.5;
constexpr double kHigh = 0.99;
constexpr double kHighest = 0.999;
constexpr double kMicrosPerMilli = 1000;

double Millis(const StreamReport& report, double part) { return report.latency.QuantileMicros(part) / kMicrosPerMilli; }

}  // namespace

std::int64_t LoadReport::wrong_answers() const {
  std::int64_t count = 0;
  for (const StreamReport& report : m_streams) count += report.wrong_answers;
  return count;
}

double LoadReport::AddedMicros(double part) const {
  return Of(WorkStream::kPreview).latency.QuantileMicros(part) - Of(WorkStream::kBaseline).latency.QuantileMicros(part);
}

bool LoadReport::HasComparison() const {
  return Of(WorkStream::kPreview).latency.count() > 0 && Of(WorkStream::kBaseline).latency.count() > 0;
}

std::string LoadReport::ToTable() const {
  std::string text = fmt::format("{:<12}{:>10}{:>10}{:>12}{:>12}{:>12}  {}\n", "stream", "good", "wrong", "median ms",
                                 "p99 ms", "p99.9 ms", "outcomes");
  for (std::size_t i = 0; i < m_streams.size(); ++i) {
    const StreamReport& report = m_streams.at(i);
    if (report.outcomes.empty()) continue;
    text += fmt::format("{:<12}{:>10}{:>10}{:>12.3f}{:>12.3f}{:>12.3f} ", EnumNames<WorkStream>::kNames.at(i),
                        report.good_answers, report.wrong_answers, Millis(report, kMedian), Millis(report, kHigh),
                        Millis(report, kHighest));
    for (const auto& [outcome, count] : report.outcomes) text += fmt::format(" {}={}", outcome, count);
    text += "\n";
  }
  if (!HasComparison()) return text;
  return text + fmt::format("added by the entries: median {:.3f} ms, p99 {:.3f} ms\n",
                            AddedMicros(kMedian) / kMicrosPerMilli, AddedMicros(kHigh) / kMicrosPerMilli);
}

std::string LoadReport::ToJsonText() const {
  boost::json::object object;
  for (std::size_t i = 0; i < m_streams.size(); ++i) {
    const StreamReport& report = m_streams.at(i);
    if (report.outcomes.empty()) continue;
    boost::json::object outcomes;
    for (const auto& [outcome, count] : report.outcomes) outcomes[outcome] = count;
    object[EnumNames<WorkStream>::kNames.at(i)] = {{"good", report.good_answers},
                                                   {"wrong", report.wrong_answers},
                                                   {"median_us", report.latency.QuantileMicros(kMedian)},
                                                   {"p99_us", report.latency.QuantileMicros(kHigh)},
                                                   {"p999_us", report.latency.QuantileMicros(kHighest)},
                                                   {"outcomes", std::move(outcomes)}};
  }
  if (HasComparison()) {
    object["added"] = {{"median_us", AddedMicros(kMedian)}, {"p99_us", AddedMicros(kHigh)}};
  }
  return boost::json::serialize(object);
}

}  // namespace jaymast
