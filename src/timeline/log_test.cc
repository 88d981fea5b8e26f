#include <gtest/gtest.h>

#include <string>

#include "runtime/event_codec.h"
#include "timeline/event_merger.h"
#include "timeline/log_check.h"
#include "timeline/log_reader.h"

namespace jaymast {
namespace {

Event Request(const std::string& process, EventKind kind, std::int64_t millis) {
  Event event;
  event.kind = kind;
  event.time = TimeFromMicros(millis * 1000);
  event.process = process;
  event.request = 1;
  return event;
}

std::string Log(const std::vector<Event>& events) {
  std::string text;
  for (const Event& event : events) text += EncodeEvent(event) + "\n";
  return text;
}

// Guards against a log that cannot be read because its process was killed while it wrote.
TEST(LogReaderTest, OnlyACutOffLastLineIsTolerated) {
  const std::string line = Log({Request("e1", EventKind::kRequestReceived, 1)});
  const Result<EventLog> cut = ParseEventLog(line + line.substr(0, 20), "e1.log");
  ASSERT_TRUE(cut);
  EXPECT_EQ(cut->events.size(), 1U);
  EXPECT_TRUE(cut->truncated);
  EXPECT_EQ(ParseEventLog(line + "\n{}\n" + line, "e1.log").error().path, "e1.log:3: event/process");
}

// Guards against requests of different processes that share a number and are taken for one.
TEST(LogCheckTest, RequestsOfDifferentProcessesAreDifferent) {
  const std::vector<Event> events = {
      Request("e1", EventKind::kRequestReceived, 1), Request("e1", EventKind::kReplySent, 2),
      Request("e2", EventKind::kRequestReceived, 3), Request("e2", EventKind::kReplySent, 4)};
  EXPECT_TRUE(CheckTimeline(MergeEvents(events), {}).empty());
}

// Guards against a check that misses a lost answer, or that blames a process which was killed.
TEST(LogCheckTest, ALostAnswerIsAViolationUnlessTheProcessCrashed) {
  const std::vector<TimelineEvent> events = MergeEvents({Request("e1", EventKind::kRequestReceived, 1)});
  const std::vector<Violation> violations = CheckTimeline(events, {});
  ASSERT_EQ(violations.size(), 1U);
  EXPECT_EQ(violations[0].reason, "the request got no response");
  const Result<LogFacts> facts = LogFactsFromJson(R"({"crashed":["e1"]})", "facts.json");
  ASSERT_TRUE(facts);
  EXPECT_TRUE(CheckTimeline(events, *facts).empty());
}

// Guards against an event about a request that keeps its local number and so closes no request.
TEST(LogCheckTest, ACallerThatLeftGetsNoAnswer) {
  const std::vector<Event> events = {
      Request("e1", EventKind::kRequestReceived, 1), Request("e1", EventKind::kReplySent, 2),
      Request("e2", EventKind::kRequestReceived, 3), Request("e2", EventKind::kCallerLeft, 4)};
  EXPECT_TRUE(CheckTimeline(MergeEvents(events), {}).empty());
}

TEST(LogCheckTest, FactsAreCheckedWhenTheyAreRead) {
  EXPECT_EQ(LogFactsFromJson(R"({"upstreams":[{"id":"u1"}]})", "f").error().path, "f/upstreams/0/domain");
  EXPECT_EQ(LogFactsFromJson(R"({"tasks":[{"id":7}]})", "f").error().path, "f/tasks/0/id");
  EXPECT_EQ(LogFactsFromJson(R"({"crash":[]})", "f").error().path, "f/crash");
}

}  // namespace
}  // namespace jaymast
