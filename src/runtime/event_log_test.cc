#include "runtime/event_log.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <string>

#include "runtime/event_codec.h"

namespace jaymast {
namespace {

Event NumberedEvent(std::int64_t number) {
  Event event;
  event.process = "p";
  event.amount = number;
  return event;
}

TEST(EventLogTest, KeepsTheLatestEventsInMemoryAndWritesAllEvents) {
  std::array<int, 2> pipe{};
  ASSERT_EQ(::pipe(pipe.data()), 0);
  EventSettings settings;
  settings.output = EventOutput::kDescriptor;
  settings.descriptor = pipe[1];
  settings.ring_lines = 2;
  {
    EventLog log(settings);
    for (std::int64_t i = 1; i <= 3; ++i) log.Append(NumberedEvent(i));
    const std::string last = EncodeEvent(NumberedEvent(3)) + "\n";
    EXPECT_EQ(log.Read(0).lines, EncodeEvent(NumberedEvent(2)) + "\n" + last);
    EXPECT_EQ(log.Read(2).lines, last);
    EXPECT_EQ(log.Read(9).lines, "");
    EXPECT_EQ(log.Read(0).next, 3U);
  }
  ::close(pipe[1]);
  std::array<char, 1024> bytes{};
  const ssize_t size = ::read(pipe[0], bytes.data(), bytes.size());
  const std::string written(bytes.data(), static_cast<std::size_t>(size));
  for (std::int64_t i = 1; i <= 3; ++i) EXPECT_NE(written.find(EncodeEvent(NumberedEvent(i))), std::string::npos);
  ::close(pipe[0]);
}

// Guards against a read that blocks the control thread for long, and against events skipped between two pages.
TEST(EventLogTest, PagesAreBoundedAndContiguous) {
  EventSettings settings;
  settings.output = EventOutput::kNone;
  EventLog log(settings);
  constexpr std::int64_t kEvents = 2 * EventLog::kMaxPageEvents + 5;
  for (std::int64_t i = 0; i < kEvents; ++i) log.Append(NumberedEvent(i));
  std::uint64_t next = 0;
  std::string lines;
  for (int page = 0; page < 3; ++page) {
    EventLog::Page read = log.Read(next);
    lines += read.lines;
    next = read.next;
  }
  EXPECT_EQ(next, static_cast<std::uint64_t>(kEvents));
  EXPECT_EQ(std::count(lines.begin(), lines.end(), '\n'), kEvents);
  const std::string tail = log.Read(std::nullopt).lines;
  EXPECT_EQ(lines.substr(lines.size() - tail.size()), tail);
  EXPECT_EQ(std::count(tail.begin(), tail.end(), '\n'), static_cast<std::int64_t>(EventLog::kMaxPageEvents));
}

// Guards against unbounded memory use or a blocked control thread when nobody reads the event output.
TEST(EventLogTest, SlowOutputDropsEventsInsteadOfBlocking) {
  std::array<int, 2> pipe{};
  ASSERT_EQ(::pipe(pipe.data()), 0);
  EventSettings settings;
  settings.output = EventOutput::kDescriptor;
  settings.descriptor = pipe[1];
  settings.queue_lines = 10;
  std::signal(SIGPIPE, SIG_IGN);
  {
    EventLog log(settings);
    Event event = NumberedEvent(1);
    event.detail = std::string(10'000, 'x');
    while (log.dropped() == 0) log.Append(event);
    EXPECT_LE(log.queued(), 10U);
    ::close(pipe[0]);  // ends the blocked write, with SIGPIPE ignored as in the program
  }
  ::close(pipe[1]);
}

}  // namespace
}  // namespace jaymast
