#include "instance/load_monitor.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

#include "cell/cell_event_sink.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;

class LastEvent : public CellEventSink {
 public:
  void Emit(std::string_view event, EventFields fields) override {
    ++count;
    id = event;
    for (const auto& [name, value] : fields) values[std::string(name)] = value;
  }
  int count = 0;
  std::string id;
  std::map<std::string, std::string> values;
};

class LoadMonitorTest : public testing::Test {
 protected:
  /// Ticks every 10 ms, and works for a part of the time before each tick.
  void RunFor(milliseconds time, milliseconds work) {
    for (const Time end = m_now + time; m_now < end;) {
      m_load.AddWork(WorkKind::kTicks, m_now, m_now + work);
      m_now += milliseconds(10);
      m_load.OnTick(m_now, m_now);
    }
  }

  LastEvent m_events;
  Time m_now{Duration(1'000'000)};
  LoadMonitor m_load{m_events, m_now};
};

// Guards against an overloaded loop that leaves no line in the log, and against a line for each tick.
TEST_F(LoadMonitorTest, BusyLoopIsReportedOnceInAWindow) {
  RunFor(milliseconds(3'000), milliseconds(5));
  EXPECT_EQ(m_events.count, 0);
  RunFor(milliseconds(2'000), milliseconds(9));
  EXPECT_EQ(m_events.count, 2);
  EXPECT_EQ(m_events.id, "load.high");
  EXPECT_EQ(m_events.values["busy_share"], "0.900");
  EXPECT_DOUBLE_EQ(m_load.Gauges().at("jaymast_busy_share_ticks"), 0.9);
}

// Guards against calls that wait or are worked on in vain without a trace.
TEST_F(LoadMonitorTest, LateAndExpiredCallsAreReported) {
  m_load.OnRelayedCall(m_now - milliseconds(300), m_now, false);
  RunFor(milliseconds(1'000), milliseconds(1));
  EXPECT_EQ(m_events.count, 1);
  EXPECT_EQ(m_events.values["relay_delay_ms"], "300");
  m_load.OnRelayedCall(m_now, m_now, true);
  RunFor(milliseconds(1'000), milliseconds(1));
  EXPECT_EQ(m_events.count, 2);
  EXPECT_EQ(m_events.values["expired_calls"], "1");
  RunFor(milliseconds(1'000), milliseconds(1));
  EXPECT_EQ(m_events.count, 2);
  EXPECT_DOUBLE_EQ(m_load.Gauges().at("jaymast_relayed_calls"), 2);
  EXPECT_DOUBLE_EQ(m_load.Gauges().at("jaymast_expired_calls"), 1);
}

// Guards against a loop that is held up outside of its handlers, which shows only in late ticks.
TEST_F(LoadMonitorTest, LateTicksAreReported) {
  m_load.OnTick(m_now, m_now + milliseconds(260));
  m_now += milliseconds(260);
  RunFor(milliseconds(1'000), milliseconds(1));
  EXPECT_EQ(m_events.count, 1);
  EXPECT_EQ(m_events.values["tick_delay_ms"], "260");
}

}  // namespace
}  // namespace jaymast
