#include <gtest/gtest.h>

#include <algorithm>
#include <boost/property_tree/ptree.hpp>
#include <boost/property_tree/xml_parser.hpp>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "testing/event_line.h"
#include "timeline/event_filter.h"
#include "timeline/event_merger.h"
#include "timeline/lane_drawing.h"

namespace jaymast {
namespace {

Event At(std::int64_t millis, const std::string& process, EventKind kind, std::int64_t attempt = 0) {
  Event event;
  event.kind = kind;
  event.time = TimeFromMicros(millis * 1000);
  event.process = process;
  event.attempt = attempt;
  if (attempt > 0) event.task = TaskId("t1");
  return event;
}

/// One attempt over three processes. The clock of the owner is 50 ms behind, that of the runner 100 ms ahead.
std::vector<Event> SkewedAttempt() {
  std::vector<Event> events = {
      At(100, "home", EventKind::kTaskClaimed, 1),     At(140, "home", EventKind::kTaskEnded, 1),
      At(40, "owner", EventKind::kOwnerClaimed),       At(60, "owner", EventKind::kStartSent, 1),
      At(220, "runner", EventKind::kRunnerStarted, 1), At(230, "runner", EventKind::kRunnerEnded, 1)};
  events[1].verdict = "ran";
  events[4].upstream = UpstreamId("u1");
  events[4].domain = DomainId("lahti");
  events[4].team = TeamId("desk");
  events[5].upstream = UpstreamId("u1");
  return events;
}

std::string Text(const std::vector<TimelineEvent>& events) {
  std::string text;
  for (const TimelineEvent& item : events) text += EventLine(item.Dated()) + "\n";
  return text;
}

// Guards against an effect that is shown before its cause because a clock is behind.
TEST(EventMergerTest, SkewedClocksKeepTheOrderOfCauses) {
  EXPECT_EQ(Text(MergeEvents(SkewedAttempt())),
            "   40.000 owner owner_claimed\n"
            "  100.000 home task_claimed task=t1 attempt=1\n"
            "  100.000 owner start_sent task=t1 attempt=1\n"
            "  220.000 runner runner_started task=t1 attempt=1 team=desk upstream=u1 domain=lahti\n"
            "  230.000 runner runner_ended task=t1 attempt=1 upstream=u1\n"
            "  230.000 home task_ended task=t1 attempt=1 verdict=ran\n");
}

// Guards against an end that is held back although it was decided without a report of the runner.
TEST(EventMergerTest, AnEndThatMayHaveRunDoesNotWaitForTheRunner) {
  std::vector<Event> events = SkewedAttempt();
  events[1].verdict = "may_have_run";
  const std::vector<TimelineEvent> merged = MergeEvents(events);
  EXPECT_EQ(merged[3].event.kind, EventKind::kTaskEnded);
  EXPECT_EQ(merged[3].time.physical, TimeFromMicros(140'000));
}

// Guards against events that are lost or reordered within a process, for logs of any shape, contradictions included.
TEST(EventMergerTest, EveryEventIsKeptInTheOrderOfItsProcessAndTimesNeverDecrease) {
  const std::vector<EventKind> kinds = {EventKind::kTaskEnded, EventKind::kRunnerEnded, EventKind::kRunnerStarted,
                                        EventKind::kStartSent, EventKind::kTaskClaimed, EventKind::kTaskAccepted};
  std::vector<Event> events;
  std::uint64_t state = 7;
  for (std::int64_t i = 0; i < 600; ++i) {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    const std::uint64_t random = state >> 33U;
    Event event = At(static_cast<std::int64_t>(random % 1000), "p" + std::to_string(random % 5), kinds[random % 6],
                     static_cast<std::int64_t>(random % 7) + 1);
    event.amount = i;
    event.verdict = "ran";
    events.push_back(event);
  }
  const std::vector<TimelineEvent> merged = MergeEvents(events);
  ASSERT_EQ(merged.size(), events.size());
  std::map<std::string, std::int64_t> last_amount;
  std::map<std::string, HybridTime> last_time;
  for (const TimelineEvent& item : merged) {
    const auto [amount, first] = last_amount.try_emplace(item.event.process, -1);
    EXPECT_LT(amount->second, item.event.amount);
    EXPECT_TRUE(first || last_time[item.event.process] < item.time);
    amount->second = item.event.amount;
    last_time[item.event.process] = item.time;
    EXPECT_TRUE(!item.cause || merged[*item.cause].time < item.time);
  }
}

TEST(EventFilterTest, TeamAndDomainAreLearnedFromOtherEvents) {
  const std::vector<TimelineEvent> merged = MergeEvents(SkewedAttempt());
  EXPECT_EQ(FilterEvents(merged, {.task = {}, .team = "desk", .domain = {}, .kinds = {}, .from = {}, .to = {}}).size(),
            5U);
  EXPECT_EQ(FilterEvents(merged, {.task = {}, .team = {}, .domain = "lahti", .kinds = {}, .from = {}, .to = {}}).size(),
            2U);
  EventFilter filter;
  filter.kinds = {EventKind::kRunnerStarted, EventKind::kStartSent};
  const std::vector<TimelineEvent> passed = FilterEvents(merged, filter);
  ASSERT_EQ(passed.size(), 2U);
  EXPECT_EQ(passed[1].cause, 0U);
  filter.from = TimeFromMicros(200'000);
  EXPECT_EQ(FilterEvents(merged, filter).at(0).cause, std::nullopt);
  filter.to = TimeFromMicros(210'000);
  EXPECT_TRUE(FilterEvents(merged, filter).empty());
}

// Guards against a drawing that a browser refuses, also for names and details with markup in them.
TEST(LaneDrawingTest, SvgIsWellFormed) {
  std::vector<Event> events = SkewedAttempt();
  events[0].detail = "<b>&\"\x01 'x'";
  events.push_back(At(400, "<p&\">", EventKind::kFault));
  for (const auto& drawn : {MergeEvents(events), std::vector<TimelineEvent>()}) {
    std::istringstream svg(DrawSvg(drawn));
    boost::property_tree::ptree tree;
    ASSERT_NO_THROW(boost::property_tree::read_xml(svg, tree));
    const boost::property_tree::ptree& root = tree.get_child("svg");
    const auto circles = static_cast<std::size_t>(root.count("circle"));
    EXPECT_EQ(circles, drawn.size() + 6);  // one for each event and six in the legend
    EXPECT_EQ(root.count("rect"), drawn.empty() ? 0U : 1U);
  }
  const std::string page = DrawHtml(MergeEvents(events));
  EXPECT_EQ(page.find("<b>"), std::string::npos);
  EXPECT_EQ(page.find("http", page.find("</svg>")), std::string::npos);
}

}  // namespace
}  // namespace jaymast
