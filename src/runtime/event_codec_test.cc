#include "runtime/event_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace jaymast {
namespace {

/// Printable ASCII, because JSON requires UTF-8 and the ids of jaymast are printable.
std::string Text() { return *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~')); }
std::int64_t Number() { return *rc::gen::arbitrary<std::int64_t>(); }

// Guards against a field that the encoder or the decoder omits or names differently.
RC_GTEST_PROP(EventCodecTest, EachFieldSurvivesARoundTrip, ()) {
  Event event;
  event.kind = static_cast<EventKind>(*rc::gen::inRange<std::size_t>(0, EnumNames<EventKind>::kNames.size()));
  event.time = TimeFromMicros(Number());
  event.process = "p" + Text();
  event.task = TaskId(Text());
  event.attempt = Number();
  event.team = TeamId(Text());
  event.upstream = UpstreamId(Text());
  event.domain = DomainId(Text());
  event.other = EntryId(Text());
  event.epoch = Number();
  event.config_version = Number();
  event.amount = Number();
  event.request = static_cast<std::uint64_t>(Number());
  event.verdict = Text();
  event.detail = Text();
  const std::string line = EncodeEvent(event);
  RC_ASSERT(line.find('\n') == std::string::npos);
  const Result<Event> read = DecodeEvent(line);
  RC_ASSERT(read.has_value());
  RC_ASSERT(read->kind == event.kind);
  RC_ASSERT(read->time == event.time);
  RC_ASSERT(read->process == event.process);
  RC_ASSERT(read->task == event.task);
  RC_ASSERT(read->attempt == event.attempt);
  RC_ASSERT(read->team == event.team);
  RC_ASSERT(read->upstream == event.upstream);
  RC_ASSERT(read->domain == event.domain);
  RC_ASSERT(read->other == event.other);
  RC_ASSERT(read->epoch == event.epoch);
  RC_ASSERT(read->config_version == event.config_version);
  RC_ASSERT(read->amount == event.amount);
  RC_ASSERT(read->request == event.request);
  RC_ASSERT(read->verdict == event.verdict);
  RC_ASSERT(read->detail == event.detail);
}

TEST(EventCodecTest, ErrorsNameTheInvalidField) {
  EXPECT_EQ(DecodeEvent(R"({"t_us":1,"process":"p","event":"no_such"})").error().path, "event/event");
  EXPECT_EQ(DecodeEvent(R"({"t_us":1,"process":"p","event":"fault","extra":1})").error().path, "event/extra");
  EXPECT_EQ(DecodeEvent("not json").error().id, ErrorId::kInputSyntax);
}

}  // namespace
}  // namespace jaymast
