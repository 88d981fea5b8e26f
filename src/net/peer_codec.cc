#include "net/peer_codec.h"

#include <peer_generated.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "base/bounds.h"

namespace jaymast {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

constexpr std::size_t kBitsPerByte = 8;

/// Limit on the absolute value of a resource amount, so that sums over all upstreams and tasks do not overflow.
constexpr std::int64_t kMaxResourceAmount = std::int64_t{1} << 40U;

/// Limit on the absolute value of a duration: 100 years. It does not overflow when converted to microseconds.
constexpr std::int64_t kMaxDurationMs = 100LL * 365 * 24 * 3600 * 1000;

wire::Resources ToWire(const Resources& resources) {
  return {resources.cpu_millis, resources.memory_mb, resources.accelerators, resources.slots};
}

Offset<wire::AttemptId> ToWire(FlatBufferBuilder& builder, const AttemptId& id) {
  return wire::CreateAttemptId(builder, builder.CreateString(id.task.value()), id.attempt);
}

Offset<wire::TaskSpec> ToWire(FlatBufferBuilder& builder, const TaskSpec& spec) {
  const wire::Resources demand = ToWire(spec.demand);
  const auto id = builder.CreateString(spec.id.value());
  const auto team = builder.CreateString(spec.team.value());
  const auto kind = builder.CreateString(spec.kind);
  const auto body = builder.CreateString(spec.body);
  const auto key = builder.CreateString(spec.idempotency_key);
  const auto gang = builder.CreateString(spec.gang.value());
  const auto domain = builder.CreateString(spec.domain.value());
  return wire::CreateTaskSpec(builder, id, team, kind, static_cast<std::uint8_t>(spec.work_class),
                              static_cast<std::uint8_t>(spec.semantics), &demand, spec.declared_run_ms, body, key, gang,
                              spec.gang_size, domain);
}

template <typename T>
std::uint8_t Index(T value) {
  return static_cast<std::uint8_t>(value);
}

/// Builds the FlatBuffers table of a message.
struct Encoder {
  FlatBufferBuilder& b;

  auto Text(const std::string& text) const { return b.CreateString(text); }
  template <typename Tag>
  auto Text(const Id<Tag>& id) const {
    return b.CreateString(id.value());
  }

  auto operator()(const PeerHello& m) const { return wire::CreateHello(b, Text(m.from), Text(m.to)); }
  auto operator()(const Summary& m) const {
    const wire::Resources free = ToWire(m.free);
    const wire::Resources largest = ToWire(m.largest_free);
    return wire::CreateSummary(b, Text(m.domain), m.serving, &free, &largest, m.config_version, m.handovers);
  }
  auto operator()(const RunRequest& m) const {
    return wire::CreateRunRequest(b, m.call, ToWire(b, m.spec), m.attempt, m.remaining_ms, m.config_version);
  }
  auto operator()(const RunReply& m) const {
    const auto reason = Text(m.reason);
    const auto output = Text(m.output);
    return wire::CreateRunReply(b, m.call, ToWire(b, m.id), Index(m.verdict), Index(m.error), reason, output);
  }
  auto operator()(const HoldRequest& m) const {
    return wire::CreateHoldRequest(b, ToWire(b, m.spec), m.attempt, m.config_version);
  }
  auto operator()(const HoldReply& m) const {
    const auto reason = Text(m.reason);
    const auto upstream = Text(m.upstream);
    return wire::CreateHoldReply(b, ToWire(b, m.id), m.granted, Index(m.error), reason, upstream, m.epoch);
  }
  auto operator()(const StartOrder& m) const {
    const auto checkpoint = Text(m.checkpoint);
    return wire::CreateStartOrder(b, ToWire(b, m.spec), m.attempt, checkpoint);
  }
  auto operator()(const ReleaseHold& m) const { return wire::CreateReleaseHold(b, ToWire(b, m.id)); }
  auto operator()(const TaskResult& m) const {
    const auto upstream = Text(m.upstream);
    const auto output = Text(m.output);
    return wire::CreateTaskResult(b, ToWire(b, m.id), Index(m.outcome), upstream, m.run_ms, output);
  }
  auto operator()(const TaskResultAck& m) const { return wire::CreateTaskResultAck(b, ToWire(b, m.id)); }
  auto operator()(const TaskProbe& m) const {
    const auto upstream = Text(m.upstream);
    return wire::CreateTaskProbe(b, ToWire(b, m.id), upstream, m.epoch);
  }
  auto operator()(const TaskRunning& m) const { return wire::CreateTaskRunning(b, ToWire(b, m.id)); }
  auto operator()(const StopOrder& m) const { return wire::CreateStopOrder(b, ToWire(b, m.id), Index(m.mode)); }
  auto operator()(const ConfigPush& m) const { return wire::CreateConfigPush(b, Text(m.config)); }
  auto operator()(const AllotmentRequest& m) const { return wire::CreateAllotmentRequest(b, Text(m.team), m.amount); }
  auto operator()(const TaskQuery& m) const {
    const auto task = Text(m.task);
    const auto team = Text(m.team);
    return wire::CreateTaskQuery(b, m.call, task, team, m.cancel, m.wait_ms);
  }
  auto operator()(const TaskQueryReply& m) const {
    return wire::CreateTaskQueryReply(b, m.call, m.status, Index(m.verdict), Index(m.error), Text(m.body));
  }
};

template <typename Table>
std::string FinishFrame(FlatBufferBuilder& builder, Offset<Table> table) {
  builder.Finish(wire::CreateFrame(builder, wire::BodyTraits<Table>::enum_value, table.Union()));
  const std::uint32_t size = builder.GetSize();
  std::string frame;
  frame.reserve(kFrameLengthBytes + size);
  for (std::size_t i = 0; i < kFrameLengthBytes; ++i) frame += static_cast<char>(size >> (kBitsPerByte * i));
  frame.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), size);
  return frame;
}

template <typename Message>
std::string Encode(const Message& message) {
  constexpr std::size_t kInitialBytes = 1024;
  FlatBufferBuilder builder(kInitialBytes);
  return FinishFrame(builder, Encoder{builder}(message));
}

/// Reads the FlatBuffers table of a message and records the first field with an invalid value.
class Decoder {
 public:
  const std::optional<Error>& error() const { return m_error; }

  PeerHello Read(const wire::Hello& m) { return {EntryId(m.from()->str()), EntryId(m.to()->str())}; }
  Summary Read(const wire::Summary& m) {
    return {DomainId(m.domain()->str()),
            m.serving(),
            ReadResources(*m.free(), "free"),
            ReadResources(*m.largest_free(), "largest_free"),
            Counter(m.config_version(), "config_version"),
            Counter(m.handovers(), "handovers")};
  }
  RunRequest Read(const wire::RunRequest& m) {
    return {m.call(), Spec(*m.spec()), Counter(m.attempt(), "attempt"), DurationMs(m.remaining_ms(), "remaining_ms"),
            Counter(m.config_version(), "config_version")};
  }
  RunReply Read(const wire::RunReply& m) {
    return {
        m.call(),          Attempt(*m.id()), Enum<Verdict>(m.verdict(), "verdict"), Enum<ErrorId>(m.error(), "error"),
        m.reason()->str(), m.output()->str()};
  }
  HoldRequest Read(const wire::HoldRequest& m) {
    return {Spec(*m.spec()), Counter(m.attempt(), "attempt"), Counter(m.config_version(), "config_version")};
  }
  HoldReply Read(const wire::HoldReply& m) {
    return {Attempt(*m.id()),
            m.granted(),
            Enum<ErrorId>(m.error(), "error"),
            m.reason()->str(),
            UpstreamId(m.upstream()->str()),
            Counter(m.epoch(), "epoch")};
  }
  StartOrder Read(const wire::StartOrder& m) {
    return {Spec(*m.spec()), Counter(m.attempt(), "attempt"), m.checkpoint()->str()};
  }
  ReleaseHold Read(const wire::ReleaseHold& m) { return {Attempt(*m.id())}; }
  TaskResult Read(const wire::TaskResult& m) {
    return {Attempt(*m.id()), Enum<Outcome>(m.outcome(), "outcome"), UpstreamId(m.upstream()->str()),
            DurationMs(m.run_ms(), "run_ms"), m.output()->str()};
  }
  TaskResultAck Read(const wire::TaskResultAck& m) { return {Attempt(*m.id())}; }
  TaskProbe Read(const wire::TaskProbe& m) {
    return {Attempt(*m.id()), UpstreamId(m.upstream()->str()), Counter(m.epoch(), "epoch")};
  }
  TaskRunning Read(const wire::TaskRunning& m) { return {Attempt(*m.id())}; }
  StopOrder Read(const wire::StopOrder& m) { return {Attempt(*m.id()), Enum<StopMode>(m.mode(), "mode")}; }
  ConfigPush Read(const wire::ConfigPush& m) { return {m.config()->str()}; }
  AllotmentRequest Read(const wire::AllotmentRequest& m) {
    return {TeamId(m.team()->str()), CheckRange(m.amount(), kMaxResourceAmount, "amount")};
  }
  TaskQuery Read(const wire::TaskQuery& m) {
    return {m.call(), TaskId(m.task()->str()), TeamId(m.team()->str()), m.cancel(), DurationMs(m.wait_ms(), "wait_ms")};
  }
  TaskQueryReply Read(const wire::TaskQueryReply& m) {
    return {m.call(), m.status(), Enum<Verdict>(m.verdict(), "verdict"), Enum<ErrorId>(m.error(), "error"),
            m.body()->str()};
  }

 private:
  template <typename E>
  E Enum(std::uint8_t index, const char* field) {
    if (index < EnumNames<E>::kNames.size()) return static_cast<E>(index);
    if (!m_error) m_error = Error{ErrorId::kInputField, field, "unknown enumerator " + std::to_string(index)};
    return E{};
  }

  std::int64_t CheckRange(std::int64_t value, std::int64_t bound, const char* field) {
    if (value >= -bound && value <= bound) return value;
    if (!m_error) m_error = Error{ErrorId::kInputField, field, "out of range: " + std::to_string(value)};
    return 0;
  }
  std::int64_t Counter(std::int64_t value, const char* field) { return CheckRange(value, kMaxCounter, field); }
  std::int64_t DurationMs(std::int64_t value, const char* field) { return CheckRange(value, kMaxDurationMs, field); }

  Resources ReadResources(const wire::Resources& r, const char* field) {
    return {CheckRange(r.cpu_millis(), kMaxResourceAmount, field), CheckRange(r.memory_mb(), kMaxResourceAmount, field),
            CheckRange(r.accelerators(), kMaxResourceAmount, field), CheckRange(r.slots(), kMaxResourceAmount, field)};
  }

  Resources Demand(const wire::Resources& r) {
    const Resources demand = ReadResources(r, "demand");
    if (!Resources().FitsIn(demand) && !m_error) m_error = Error{ErrorId::kInputField, "demand", "negative amount"};
    return demand;
  }

  AttemptId Attempt(const wire::AttemptId& id) { return {TaskId(id.task()->str()), Counter(id.attempt(), "attempt")}; }

  TaskSpec Spec(const wire::TaskSpec& m) {
    TaskSpec spec;
    spec.id = TaskId(m.id()->str());
    spec.team = TeamId(m.team()->str());
    spec.kind = m.kind()->str();
    spec.work_class = Enum<WorkClass>(m.work_class(), "work_class");
    spec.semantics = Enum<Semantics>(m.semantics(), "semantics");
    spec.demand = Demand(*m.demand());
    spec.declared_run_ms = DurationMs(m.declared_run_ms(), "declared_run_ms");
    spec.body = m.body()->str();
    spec.idempotency_key = m.idempotency_key()->str();
    spec.gang = GangId(m.gang()->str());
    spec.gang_size = Counter(m.gang_size(), "gang_size");
    spec.domain = DomainId(m.domain()->str());
    return spec;
  }

  std::optional<Error> m_error;
};

template <typename Table>
Result<PeerFrame> ReadMessage(const wire::Frame& frame) {
  Decoder decoder;
  PeerMessage message = decoder.Read(*frame.body_as<Table>());
  if (decoder.error()) return *decoder.error();
  return PeerFrame(std::move(message));
}

}  // namespace

std::string EncodeFrame(const PeerHello& hello) { return Encode(hello); }

std::string EncodeFrame(const PeerMessage& message) {
  return std::visit([](const auto& alternative) { return Encode(alternative); }, message);
}

std::size_t DecodeFrameLength(std::string_view bytes) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kFrameLengthBytes; ++i) {
    length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (kBitsPerByte * i);
  }
  return length;
}

Result<PeerFrame> DecodeFrame(std::string_view bytes) {
  const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (!wire::VerifyFrameBuffer(verifier)) return Error{ErrorId::kInputSyntax, "frame", "verification failed"};
  const wire::Frame& frame = *wire::GetFrame(data);
  switch (frame.body_type()) {
    case wire::Body::Hello:
      return PeerFrame(Decoder().Read(*frame.body_as_Hello()));
    case wire::Body::Summary:
      return ReadMessage<wire::Summary>(frame);
    case wire::Body::RunRequest:
      return ReadMessage<wire::RunRequest>(frame);
    case wire::Body::RunReply:
      return ReadMessage<wire::RunReply>(frame);
    case wire::Body::HoldRequest:
      return ReadMessage<wire::HoldRequest>(frame);
    case wire::Body::HoldReply:
      return ReadMessage<wire::HoldReply>(frame);
    case wire::Body::StartOrder:
      return ReadMessage<wire::StartOrder>(frame);
    case wire::Body::ReleaseHold:
      return ReadMessage<wire::ReleaseHold>(frame);
    case wire::Body::TaskResult:
      return ReadMessage<wire::TaskResult>(frame);
    case wire::Body::TaskResultAck:
      return ReadMessage<wire::TaskResultAck>(frame);
    case wire::Body::TaskProbe:
      return ReadMessage<wire::TaskProbe>(frame);
    case wire::Body::TaskRunning:
      return ReadMessage<wire::TaskRunning>(frame);
    case wire::Body::StopOrder:
      return ReadMessage<wire::StopOrder>(frame);
    case wire::Body::ConfigPush:
      return ReadMessage<wire::ConfigPush>(frame);
    case wire::Body::AllotmentRequest:
      return ReadMessage<wire::AllotmentRequest>(frame);
    case wire::Body::TaskQuery:
      return ReadMessage<wire::TaskQuery>(frame);
    case wire::Body::TaskQueryReply:
      return ReadMessage<wire::TaskQueryReply>(frame);
    case wire::Body::NONE:
      break;
  }
  return Error{ErrorId::kInputField, "body", "unknown kind of message"};
}

}  // namespace jaymast
