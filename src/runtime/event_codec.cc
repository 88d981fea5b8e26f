#include "runtime/event_codec.h"

#include <boost/json.hpp>
#include <cstdint>
#include <utility>

#include "base/field_reader.h"
#include "model/codec.h"

namespace jaymast {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxNameBytes = 1024;
constexpr std::size_t kMaxDetailBytes = 64U << 10U;

template <typename Tag>
void Put(json::object& object, std::string_view name, const Id<Tag>& id) {
  if (!id.empty()) object[name] = id.value();
}

void Put(json::object& object, std::string_view name, const std::string& text) {
  if (!text.empty()) object[name] = text;
}

void Put(json::object& object, std::string_view name, std::int64_t number) {
  if (number != 0) object[name] = number;
}

template <typename IdType>
IdType ReadId(FieldReader& reader, std::string_view name) {
  return IdType(reader.String(name, "", kMaxNameBytes));
}

std::int64_t ReadNumber(FieldReader& reader, std::string_view name) {
  return reader.Int(name, 0, INT64_MIN, INT64_MAX);
}

}  // namespace

std::string EncodeEvent(const Event& event) {
  json::object object = {{"t_us", ToMicros(event.time)}, {"process", event.process}, {"event", ToString(event.kind)}};
  // Request ids are counted from 1 in each process, so they fit into a signed integer.
  Put(object, "request", static_cast<std::int64_t>(event.request));
  Put(object, "task", event.task);
  Put(object, "attempt", event.attempt);
  Put(object, "team", event.team);
  Put(object, "upstream", event.upstream);
  Put(object, "domain", event.domain);
  Put(object, "other", event.other);
  Put(object, "epoch", event.epoch);
  Put(object, "config_version", event.config_version);
  Put(object, "amount", event.amount);
  Put(object, "verdict", event.verdict);
  Put(object, "detail", event.detail);
  return json::serialize(object);
}

Result<Event> DecodeEvent(std::string_view line) {
  const Result<json::object> object = ParseObject(line, "event");
  if (!object) return object.error();
  FieldReader reader(*object, "event");
  Event event;
  event.time = TimeFromMicros(ReadNumber(reader, "t_us"));
  event.process = reader.RequiredString("process", kMaxNameBytes);
  const auto kind = FromString<EventKind>(reader.RequiredString("event", kMaxNameBytes));
  if (!kind) reader.Fail("event", "unknown kind of event");
  event.kind = kind.value_or(EventKind::kFault);
  event.request = static_cast<std::uint64_t>(ReadNumber(reader, "request"));
  event.task = ReadId<TaskId>(reader, "task");
  event.attempt = ReadNumber(reader, "attempt");
  event.team = ReadId<TeamId>(reader, "team");
  event.upstream = ReadId<UpstreamId>(reader, "upstream");
  event.domain = ReadId<DomainId>(reader, "domain");
  event.other = ReadId<EntryId>(reader, "other");
  event.epoch = ReadNumber(reader, "epoch");
  event.config_version = ReadNumber(reader, "config_version");
  event.amount = ReadNumber(reader, "amount");
  event.verdict = reader.String("verdict", "", kMaxNameBytes);
  event.detail = reader.String("detail", "", kMaxDetailBytes);
  reader.RejectUnknown();
  if (reader.error()) return *reader.error();
  return event;
}

}  // namespace jaymast
