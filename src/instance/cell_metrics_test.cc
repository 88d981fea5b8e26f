#include "instance/cell_metrics.h"

#include <gtest/gtest.h>

#include <string>

namespace jaymast {
namespace {

class CountingLog : public CellEventSink {
 public:
  void Emit(std::string_view /*event*/, EventFields /*fields*/) override { ++lines; }
  int lines = 0;
};

// Guards against metrics that don't match the events in the log.
TEST(CellMetricsTest, EventsAreCountedByReasonAndDuration) {
  CountingLog log;
  CellMetrics metrics(log);
  metrics.Emit("job.refused", {{"job", "a"}, {"reason", "store does not answer"}});
  metrics.Emit("job.refused", {{"job", "b"}, {"reason", "store does not answer"}});
  metrics.Emit("job.ended", {{"job", "c"}, {"after_ms", "240"}});
  metrics.Emit("job.ended", {{"job", "d"}, {"after_ms", "90000"}});
  const std::string text = metrics.Render({{"jaymast_leader", 1}});
  EXPECT_NE(text.find("jaymast_events_total{event=\"job.refused\",reason=\"store does not answer\"} 2"),
            std::string::npos)
      << text;
  EXPECT_NE(text.find("jaymast_event_seconds_bucket{event=\"job.ended\",le=\"0.25\"} 1"), std::string::npos) << text;
  EXPECT_NE(text.find("jaymast_event_seconds_bucket{event=\"job.ended\",le=\"+Inf\"} 2"), std::string::npos) << text;
  EXPECT_NE(text.find("jaymast_leader 1"), std::string::npos) << text;
  EXPECT_EQ(log.lines, 4);
}

// Guards against unbounded memory and label cardinality from free-text reasons.
TEST(CellMetricsTest, ExcessReasonsAreCountedAsOther) {
  CountingLog log;
  CellMetrics metrics(log);
  for (int i = 0; i < 1'000; ++i) metrics.Emit("start.refused", {{"reason", "reason " + std::to_string(i)}});
  const std::string text = metrics.Render({});
  EXPECT_NE(text.find("reason=\"other\"} 980"), std::string::npos) << text.substr(0, 2'000);
}

}  // namespace
}  // namespace jaymast
