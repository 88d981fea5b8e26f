#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/pfr.hpp>
#include <condition_variable>
#include <cstdlib>
#include <mutex>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "net/endpoint.h"
#include "net/io_pool.h"
#include "net/peer_codec.h"
#include "net/peer_links.h"
#include "testing/property_check.h"

namespace jaymast {
namespace {

using Tcp = boost::asio::ip::tcp;

constexpr std::chrono::seconds kTestTimeout{20};

std::string Text() { return *rc::gen::arbitrary<std::string>(); }
/// A number within the range of every field, with evenly distributed orders of magnitude.
std::int64_t Number() { return *rc::gen::arbitrary<std::int64_t>() >> *rc::gen::inRange(24, 60); }
std::int64_t Amount() { return std::abs(Number()); }
bool Flag() { return *rc::gen::arbitrary<bool>(); }
AttemptId Attempt() { return {TaskId(Text()), Number()}; }
Resources Amounts() { return {Amount(), Amount(), Amount(), Amount()}; }

template <typename E>
E Enumerator() {
  return static_cast<E>(*rc::gen::inRange<std::size_t>(0, EnumNames<E>::kNames.size()));
}

TaskSpec Spec() {
  return {TaskId(Text()),
          TeamId(Text()),
          Text(),
          Enumerator<WorkClass>(),
          Enumerator<Semantics>(),
          Amounts(),
          Number(),
          Text(),
          Text(),
          GangId(Text()),
          Number(),
          DomainId(Text())};
}

/// A message of the alternative with the given index in PeerMessage.
PeerMessage Message(std::size_t kind) {
  const auto call = static_cast<std::uint64_t>(Number());
  switch (kind) {
    case 0:
      return Summary{DomainId(Text()), Flag(), Amounts(), Amounts(), Number(), Number()};
    case 1:
      return RunRequest{call, Spec(), Number(), Number(), Number()};
    case 2:
      return RunReply{call, Attempt(), Enumerator<Verdict>(), Enumerator<ErrorId>(), Text(), Text()};
    case 3:
      return HoldRequest{Spec(), Number(), Number()};
    case 4:
      return HoldReply{Attempt(), Flag(), Enumerator<ErrorId>(), Text(), UpstreamId(Text()), Number()};
    case 5:
      return StartOrder{Spec(), Number(), Text()};
    case 6:
      return ReleaseHold{Attempt()};
    case 7:
      return TaskResult{Attempt(), Enumerator<Outcome>(), UpstreamId(Text()), Number(), Text()};
    case 8:
      return TaskResultAck{Attempt()};
    case 9:
      return TaskProbe{Attempt(), UpstreamId(Text()), Number()};
    case 10:
      return TaskRunning{Attempt()};
    case 11:
      return StopOrder{Attempt(), Enumerator<StopMode>()};
    case 12:
      return ConfigPush{Text()};
    case 13:
      return AllotmentRequest{TeamId(Text()), Number()};
    case 14:
      return TaskQuery{call, TaskId(Text()), TeamId(Text()), Flag(), Number()};
    default:
      return TaskQueryReply{call, Number(), Enumerator<Verdict>(), Enumerator<ErrorId>(), Text()};
  }
}

/// Frame without its length prefix.
std::string Payload(const std::string& frame) { return frame.substr(kFrameLengthBytes); }

/// Text with all fields of a message, including nested ones.
template <typename T>
std::string Dump(const T& value) {
  if constexpr (std::is_arithmetic_v<T>) {
    return std::to_string(value) + ";";
  } else if constexpr (std::is_enum_v<T>) {
    return std::string(ToString(value)) + ";";
  } else if constexpr (std::is_same_v<T, std::string>) {
    return std::to_string(value.size()) + ":" + value + ";";
  } else if constexpr (std::is_aggregate_v<T>) {
    std::string text = "{";
    boost::pfr::for_each_field(value, [&text](const auto& field) { text += Dump(field); });
    return text + "}";
  } else {
    return Dump(value.value());
  }
}

std::string DumpMessage(const PeerMessage& message) {
  return std::visit([](const auto& alternative) { return Dump(alternative); }, message);
}

// Guards against a field that the encoder or the decoder omits or swaps.
RC_GTEST_PROP(PeerCodecTest, EveryKindOfMessageSurvivesARoundTrip, ()) {
  for (std::size_t kind = 0; kind < std::variant_size_v<PeerMessage>; ++kind) {
    const PeerMessage message = Message(kind);
    RC_ASSERT(message.index() == kind);
    const std::string frame = EncodeFrame(message);
    RC_ASSERT(DecodeFrameLength(frame) == frame.size() - kFrameLengthBytes);
    const Result<PeerFrame> decoded = DecodeFrame(Payload(frame));
    RC_ASSERT(decoded.has_value());
    const auto& read = std::get<PeerMessage>(*decoded);
    RC_ASSERT(read.index() == kind);
    RC_ASSERT(DumpMessage(read) == DumpMessage(message));
  }
}

// Guards against reads outside the buffer on frames with a changed byte or a truncated end.
RC_GTEST_PROP(PeerCodecTest, CorruptedFramesAreRejectedOrDecoded, ()) {
  std::string bytes = Payload(EncodeFrame(Message(*rc::gen::inRange<std::size_t>(0, 16))));
  const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[position] = *rc::gen::arbitrary<char>();
  bytes.resize(*rc::gen::inRange<std::size_t>(position, bytes.size() + 1));
  const Result<PeerFrame> decoded = DecodeFrame(bytes);
  RC_ASSERT(decoded.has_value() || !decoded.error().path.empty());
}

// Guards against reads outside the buffer, and against accepted values that cannot be encoded again.
TEST(PeerCodecTest, MutatedFramesAreRejectedOrStable) {
  CheckWithFixedSeed(2'000, [] {
    const std::string bytes = MutatedBytes(Payload(EncodeFrame(Message(*rc::gen::inRange<std::size_t>(0, 16)))));
    const Result<PeerFrame> decoded = DecodeFrame(bytes);
    if (!decoded) {
      RC_ASSERT(IsLocated(decoded.error()));
      return;
    }
    const auto encode = [](const auto& value) { return EncodeFrame(value); };
    const Result<PeerFrame> again = DecodeFrame(Payload(std::visit(encode, *decoded)));
    RC_ASSERT(again.has_value());
    RC_ASSERT(std::visit(encode, *again) == std::visit(encode, *decoded));
  });
}

// Guards against random bytes that are accepted, or rejected without an error path.
TEST(PeerCodecTest, RandomBytesAreRejected) {
  CheckWithFixedSeed(2'000, [] {
    const Result<PeerFrame> decoded = DecodeFrame(Text());
    RC_ASSERT(!decoded);
    RC_ASSERT(IsLocated(decoded.error()));
  });
}

// Guards against overflow when a number received from a peer is added to a time, an amount or a counter.
TEST(PeerCodecTest, NumbersOutOfRangeAreRejected) {
  const auto path = [](const PeerMessage& message) {
    const Result<PeerFrame> decoded = DecodeFrame(Payload(EncodeFrame(message)));
    return decoded ? "no error" : decoded.error().path;
  };
  const AttemptId last{TaskId("t"), INT64_MAX};
  TaskSpec huge;
  huge.demand.memory_mb = INT64_MAX;
  TaskSpec negative;
  negative.demand.slots = -1;
  TaskSpec overlong;
  overlong.declared_run_ms = INT64_MAX;
  EXPECT_EQ(path(RunRequest{1, {}, 1, INT64_MAX, 1}), "remaining_ms");
  EXPECT_EQ(path(RunRequest{1, {}, 1, INT64_MIN, 1}), "remaining_ms");
  EXPECT_EQ(path(TaskQuery{1, TaskId("t"), TeamId("desk"), false, INT64_MAX}), "wait_ms");
  EXPECT_EQ(path(HoldRequest{huge, 1, 1}), "demand");
  EXPECT_EQ(path(HoldRequest{negative, 1, 1}), "demand");
  EXPECT_EQ(path(StartOrder{overlong, 1, ""}), "declared_run_ms");
  EXPECT_EQ(path(HoldReply{{}, true, ErrorId::kNone, "", UpstreamId("u"), INT64_MAX}), "epoch");
  EXPECT_EQ(path(ReleaseHold{last}), "attempt");
  EXPECT_EQ(path(TaskResult{{}, Outcome::kFailed, UpstreamId("u"), INT64_MAX, ""}), "run_ms");
  EXPECT_EQ(path(Summary{DomainId("d"), true, huge.demand, {}, 1, 1}), "free");
  EXPECT_EQ(path(AllotmentRequest{TeamId("desk"), INT64_MAX}), "amount");
}

// Guards against an enum value outside its name table, such as one from a newer version.
TEST(PeerCodecTest, RejectsUnknownEnumerators) {
  std::string bytes = Payload(EncodeFrame(StopOrder{{TaskId("t"), 1}, StopMode::kThrottle}));
  const std::size_t position = bytes.find('\x02', 20);
  bool rejected = false;
  for (std::size_t i = position; i < bytes.size(); ++i) {
    std::string changed = bytes;
    if (changed[i] != '\x02') continue;
    changed[i] = '\x7f';
    const Result<PeerFrame> decoded = DecodeFrame(changed);
    rejected = rejected || (!decoded && decoded.error().path == "mode");
  }
  EXPECT_TRUE(rejected);
}

/// An entry that records the ConfigPush messages it receives.
class TestPeer {
 public:
  TestPeer(IoPool& pool, const EntryId& id, PeerLinksOptions options = {}) {
    options.min_backoff = std::chrono::milliseconds(1);
    m_links = std::move(*PeerLinks::Listen(pool, options, id, [this](const EntryId& from, PeerMessage message) {
      const std::lock_guard lock(m_mutex);
      m_received.insert({from.value(), std::get<ConfigPush>(message).config});
      m_changed.notify_all();
    }));
  }

  PeerLinks& links() { return *m_links; }

  bool WaitFor(const std::string& from, const std::string& config) {
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, kTestTimeout, [&] { return m_received.count({from, config}) > 0; });
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::set<std::pair<std::string, std::string>> m_received;
  std::unique_ptr<PeerLinks> m_links;
};

class PeerLinksTest : public testing::Test {
 protected:
  ~PeerLinksTest() override { m_pool.Stop(); }

  IoPool m_pool{2};
};

// Guards against frames that are lost, cut or attributed to the wrong sender.
TEST_F(PeerLinksTest, DeliversFramesWithTheSenderOfTheHello) {
  TestPeer a(m_pool, EntryId("a"));
  TestPeer b(m_pool, EntryId("b"));
  a.links().Connect(EntryId("b"), b.links().address());
  a.links().Send(EntryId("b"), ConfigPush{"first"});
  a.links().Send(EntryId("b"), ConfigPush{std::string(1'000'000, 'x')});
  EXPECT_TRUE(b.WaitFor("a", "first"));
  EXPECT_TRUE(b.WaitFor("a", std::string(1'000'000, 'x')));
}

// Guards against a message for one incarnation being delivered to the next one at the same address.
TEST_F(PeerLinksTest, NewIncarnationReceivesNoFramesForThePreviousOne) {
  TestPeer a(m_pool, EntryId("a"));
  TestPeer b(m_pool, EntryId("b.2"));
  a.links().Connect(EntryId("b.1"), b.links().address());
  a.links().Send(EntryId("b.1"), ConfigPush{"old"});
  a.links().Connect(EntryId("b.2"), b.links().address());
  a.links().Send(EntryId("b.2"), ConfigPush{"new"});
  EXPECT_TRUE(b.WaitFor("a", "new"));
  EXPECT_EQ(b.links().counters().received, 1U);
}

// Guards against frames that carry the old id, or no link at all, after the local id changes.
TEST_F(PeerLinksTest, ReconnectsUnderANewIncarnation) {
  TestPeer a(m_pool, EntryId("a.1"));
  TestPeer b(m_pool, EntryId("b"));
  a.links().Connect(EntryId("b"), b.links().address());
  a.links().Send(EntryId("b"), ConfigPush{"one"});
  ASSERT_TRUE(b.WaitFor("a.1", "one"));
  a.links().SetLocalId(EntryId("a.2"));
  a.links().Send(EntryId("b"), ConfigPush{"two"});
  EXPECT_TRUE(b.WaitFor("a.2", "two"));
}

/// Sends bytes to an address and waits until the connection is closed.
void SendRaw(const std::string& address, const std::string& bytes) {
  boost::asio::io_context context;
  Tcp::socket socket(context);
  socket.connect(*ParseEndpoint(address));
  boost::system::error_code ec;
  boost::asio::write(socket, boost::asio::buffer(bytes), ec);
  std::string received_bytes;
  boost::asio::read(socket, boost::asio::dynamic_buffer(received_bytes), ec);
}

// Guards against delivering data from a link that violates the framing or the hello protocol.
TEST_F(PeerLinksTest, MalformedFramesCloseTheLink) {
  TestPeer b(m_pool, EntryId("b"));
  const std::string hello = EncodeFrame(PeerHello{EntryId("a"), EntryId("b")});
  const std::vector<std::string> streams = {
      hello + std::string("\x08\x00\x00\x00garbage!", 12),  // verification fails
      std::string("\xff\xff\xff\xff", 4),                   // exceeds the size limit
      EncodeFrame(ConfigPush{"before the hello"}),          // no hello
      hello + hello,                                        // repeated hello
      hello + std::string("\x00\x00\x00\x00", 4),           // empty frame
  };
  for (std::size_t i = 0; i < streams.size(); ++i) {
    SendRaw(b.links().address(), streams[i]);
    EXPECT_EQ(b.links().counters().malformed, i + 1) << "stream " << i;
  }
  EXPECT_EQ(b.links().counters().received, 0U);
}

// Guards against unbounded memory use by the queue for a peer that does not read.
TEST_F(PeerLinksTest, FullQueueDropsFrames) {
  boost::asio::io_context context;
  Tcp::acceptor unresponsive(context, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  PeerLinksOptions options;
  options.max_queued_bytes = 1U << 20U;
  TestPeer a(m_pool, EntryId("a"), options);
  a.links().Connect(EntryId("silent"), FormatEndpoint(unresponsive.local_endpoint()));
  const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
  while (a.links().counters().dropped == 0 && std::chrono::steady_clock::now() < deadline) {
    a.links().Send(EntryId("silent"), ConfigPush{std::string(100'000, 'x')});
  }
  EXPECT_GT(a.links().counters().dropped, 0U);
}

}  // namespace
}  // namespace jaymast
