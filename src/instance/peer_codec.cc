#include "instance/peer_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <limits>

#include "base/field_reader.h"
#include "base/json_object.h"

namespace jaymast {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxTextBytes = 4096;
constexpr std::int64_t kMaxInt = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t kMaxClass = static_cast<std::int64_t>(LeaderClass::kFit);

}  // namespace

std::string EncodeHeartbeat(const Heartbeat& heartbeat) {
  json::object out{{"record", EncodeLeaderRecord(heartbeat.record)}, {"version", heartbeat.version}};
  if (heartbeat.fittest_class != LeaderClass::kFit) {
    out["fittest_class"] = static_cast<std::int64_t>(heartbeat.fittest_class);
  }
  out["ready"] = heartbeat.is_ready;
  if (heartbeat.config_version > 0) out["config_version"] = heartbeat.config_version;
  if (heartbeat.sent_at) out["sent_at_us"] = ToMicros(*heartbeat.sent_at);
  if (!heartbeat.forward_to.empty()) {
    out["forward_to"] = json::array(heartbeat.forward_to.begin(), heartbeat.forward_to.end());
  }
  return json::serialize(out);
}

std::optional<Heartbeat> DecodeHeartbeat(std::string_view text) {
  const Result<json::object> object = ParseObject(text, "beat");
  if (!object) return std::nullopt;
  FieldReader reader(*object, "beat");
  const std::optional<LeaderRecord> record = DecodeLeaderRecord(reader.RequiredString("record", kMaxTextBytes));
  const std::int64_t version = reader.Int("version", 0, 0, kMaxInt);
  Heartbeat heartbeat{record.value_or(LeaderRecord{}), version, {}};
  heartbeat.fittest_class = static_cast<LeaderClass>(reader.Int("fittest_class", kMaxClass, 0, kMaxClass));
  heartbeat.is_ready = reader.Bool("ready", true);
  heartbeat.config_version = reader.Int("config_version", 0, 0, kMaxInt);
  const std::int64_t sent_at_us = reader.Int("sent_at_us", 0, 0, kMaxInt);
  if (sent_at_us > 0) heartbeat.sent_at = TimeFromMicros(sent_at_us);
  if (const json::array* addresses = reader.Array("forward_to")) {
    for (const json::value& address : *addresses) {
      if (!address.is_string()) return std::nullopt;
      heartbeat.forward_to.emplace_back(address.get_string());
    }
  }
  if (reader.error() || !record) return std::nullopt;
  return heartbeat;
}

std::string EncodeHeartbeatReply(const std::set<std::string>& answered) {
  if (answered.empty()) return "";
  return json::serialize(json::object{{"answered", json::array(answered.begin(), answered.end())}});
}

std::set<std::string> DecodeHeartbeatReply(std::string_view text) {
  std::set<std::string> answered;
  const Result<json::object> object = ParseObject(text, "beat reply");
  if (!object) return answered;
  FieldReader reader(*object, "beat reply");
  const json::array* addresses = reader.Array("answered");
  if (addresses == nullptr) return answered;
  for (const json::value& address : *addresses) {
    if (address.is_string()) answered.emplace(address.get_string());
  }
  return answered;
}

std::string EncodeJoinAnnouncement(const JoinAnnouncement& announcement) {
  json::object out{{"address", announcement.address}, {"cpu_millis", announcement.fitness.cpu_millis}};
  if (announcement.fitness.link_mbps > 0) out["link_mbps"] = announcement.fitness.link_mbps;
  return json::serialize(out);
}

std::optional<JoinAnnouncement> DecodeJoinAnnouncement(std::string_view text) {
  const Result<json::object> object = ParseObject(text, "hello");
  if (!object) return std::nullopt;
  FieldReader reader(*object, "hello");
  JoinAnnouncement announcement;
  announcement.address = reader.RequiredString("address", kMaxTextBytes);
  announcement.fitness.cpu_millis = reader.Int("cpu_millis", 0, 0, kMaxInt);
  announcement.fitness.link_mbps = reader.Int("link_mbps", 0, 0, kMaxInt);
  if (reader.error()) return std::nullopt;
  return announcement;
}

std::string EncodePolicyRequest(const PolicyRequest& policy_request) {
  json::array upstreams;
  for (const UpstreamId& id : policy_request.upstreams) upstreams.emplace_back(id.value());
  return json::serialize(json::object{{"job", policy_request.job.value()},
                                      {"occurrence", policy_request.occurrence},
                                      {"step", policy_request.step},
                                      {"expected_ms", policy_request.expected_ms},
                                      {"timeout_ms", policy_request.timeout_ms},
                                      {"upstreams", std::move(upstreams)}});
}

std::optional<PolicyRequest> DecodePolicyRequest(std::string_view text) {
  const Result<json::object> object = ParseObject(text, "question");
  if (!object) return std::nullopt;
  FieldReader reader(*object, "question");
  PolicyRequest policy_request;
  policy_request.job = JobId(reader.RequiredString("job", kMaxTextBytes));
  policy_request.occurrence = static_cast<std::size_t>(reader.Int("occurrence", 0, 0, kMaxInt));
  policy_request.step = static_cast<std::size_t>(reader.Int("step", 0, 0, kMaxInt));
  policy_request.expected_ms = reader.Int("expected_ms", 0, 0, kMaxInt);
  policy_request.timeout_ms = reader.Int("timeout_ms", policy_request.expected_ms, 0, kMaxInt);
  if (const json::array* upstreams = reader.Array("upstreams")) {
    for (const json::value& id : *upstreams) {
      if (!id.is_string()) return std::nullopt;
      policy_request.upstreams.emplace_back(std::string(id.get_string()));
    }
  }
  if (reader.error()) return std::nullopt;
  return policy_request;
}

std::string EncodePolicyReply(const PolicyReply& policy_reply) {
  json::array tickets;
  for (const auto& [id, ticket] : policy_reply.tickets) tickets.push_back(json::array{id.value(), ticket});
  return json::serialize(json::object{{"answered", policy_reply.is_answered},
                                      {"pending", policy_reply.may_be_pending},
                                      {"ticket_ms", policy_reply.ticket_ms},
                                      {"tickets", std::move(tickets)}});
}

std::optional<PolicyReply> DecodePolicyReply(std::string_view text) {
  const Result<json::object> object = ParseObject(text, "answer");
  if (!object) return std::nullopt;
  FieldReader reader(*object, "answer");
  PolicyReply policy_reply;
  policy_reply.is_answered = reader.Bool("answered", false);
  policy_reply.may_be_pending = reader.Bool("pending", false);
  policy_reply.ticket_ms = reader.Int("ticket_ms", 0, 0, kMaxInt);
  if (const json::array* tickets = reader.Array("tickets")) {
    for (const json::value& row : *tickets) {
      const bool is_pair = row.is_array() && row.get_array().size() == 2 && row.get_array()[0].is_string() &&
                           row.get_array()[1].is_string();
      if (!is_pair) return std::nullopt;
      policy_reply.tickets.emplace_back(UpstreamId(std::string(row.get_array()[0].get_string())),
                                        std::string(row.get_array()[1].get_string()));
    }
  }
  if (reader.error()) return std::nullopt;
  return policy_reply;
}

}  // namespace jaymast
