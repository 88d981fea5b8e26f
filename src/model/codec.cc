#include "model/codec.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <utility>

#include "base/bounds.h"
#include "base/field_reader.h"

namespace jaymast {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::int64_t kMaxCpuMillis = 1'000'000;
constexpr std::int64_t kMaxMemoryMb = 64LL * 1024 * 1024;
constexpr std::int64_t kMaxAccelerators = 1024;
constexpr std::int64_t kMaxSlots = 4096;
constexpr std::int64_t kMaxConnections = 65536;
constexpr std::int64_t kMaxRunMs = 365LL * 24 * 3600 * 1000;
constexpr std::int64_t kMaxTeamShare = 1'000'000;
constexpr std::int64_t kMaxTeamLimit = 1'000'000;
constexpr std::int64_t kMaxReplicas = 10'000;

template <typename Tag>
Id<Tag> ReadId(FieldReader& reader, std::string_view name) {
  return Id<Tag>(reader.RequiredString(name, kMaxNameBytes));
}

template <typename T>
Result<T> Finish(FieldReader& reader, T value) {
  reader.RejectUnknown();
  if (reader.error()) return *reader.error();
  return value;
}

json::array ToJsonArray(const std::vector<std::string>& texts) {
  json::array array;
  for (const std::string& text : texts) array.emplace_back(text);
  return array;
}

template <typename Set>
json::array IdsToJson(const Set& ids) {
  json::array array;
  for (const auto& id : ids) array.emplace_back(id.value());
  return array;
}

template <typename IdType>
std::set<IdType> ReadIds(FieldReader& reader, std::string_view name) {
  std::set<IdType> ids;
  const json::array* array = reader.Array(name);
  if (array == nullptr) return ids;
  for (const json::value& value : *array) {
    if (value.is_string()) {
      ids.insert(IdType(std::string_view(value.get_string())));
    } else {
      reader.Fail(name, "expected an array of strings");
    }
  }
  return ids;
}

json::object TeamToJson(const Team& team) { return {{"share", team.share}, {"limit", team.limit}}; }

Team ReadTeam(FieldReader& reader) {
  Team team;
  team.share = reader.Int("share", 1, 1, kMaxTeamShare);
  team.limit = reader.Int("limit", 0, 0, kMaxTeamLimit);
  return team;
}

json::object KeyToJson(const ApiKey& key) {
  return {{"sha256", key.sha256}, {"team", key.team.value()}, {"role", ToString(key.role)}};
}

ApiKey ReadKey(FieldReader& reader) {
  constexpr std::size_t kSha256HexLength = 64;
  ApiKey key;
  key.sha256 = reader.RequiredString("sha256", kSha256HexLength);
  if (key.sha256.size() != kSha256HexLength) reader.Fail("sha256", "expected 64 hexadecimal digits");
  key.team = ReadId<TeamTag>(reader, "team");
  key.role = reader.Enum("role", Role::kSubmitter);
  return key;
}

void ReadTeams(FieldReader& reader, const std::string& path, ClusterConfig& config) {
  const json::object* teams = reader.Object("teams");
  if (teams == nullptr) return;
  for (const auto& [name, value] : *teams) {
    if (!value.is_object()) return reader.Fail("teams", "expected an object for each team");
    FieldReader fields(value.get_object(), path + "/teams/" + std::string(name));
    const Result<Team> team = Finish(fields, ReadTeam(fields));
    if (!team) return reader.Fail("teams", team.error().path + ": " + team.error().reason);
    config.teams[TeamId(std::string_view(name))] = *team;
  }
}

void ReadKeys(FieldReader& reader, const std::string& path, ClusterConfig& config) {
  const json::object* keys = reader.Object("keys");
  if (keys == nullptr) return;
  for (const auto& [name, value] : *keys) {
    if (!value.is_object()) return reader.Fail("keys", "expected an object for each key");
    FieldReader fields(value.get_object(), path + "/keys/" + std::string(name));
    const Result<ApiKey> key = Finish(fields, ReadKey(fields));
    if (!key) return reader.Fail("keys", key.error().path + ": " + key.error().reason);
    config.keys[KeyId(std::string_view(name))] = *key;
  }
}

void ReadPolicies(FieldReader& reader, ClusterConfig& config) {
  const json::object* policies = reader.Object("policies");
  if (policies == nullptr) return;
  for (const auto& [name, value] : *policies) {
    const std::optional<WorkClass> work_class = FromString<WorkClass>(std::string_view(name));
    if (!work_class || !value.is_string()) return reader.Fail("policies", "expected a policy name per class of work");
    config.policies[*work_class] = std::string(value.get_string());
  }
}

UpstreamInfo ReadUpstream(FieldReader& reader, const std::string& path) {
  UpstreamInfo info;
  info.id = ReadId<UpstreamTag>(reader, "id");
  info.domain = ReadId<DomainTag>(reader, "domain");
  info.rack = reader.String("rack", "", kMaxNameBytes);
  info.address = reader.String("address", "", kMaxNameBytes);
  if (const json::object* capacity = reader.Object("capacity")) {
    const Result<Resources> resources = ResourcesFromJson(*capacity, path + "/capacity");
    if (resources) info.capacity = *resources;
    if (!resources) reader.Fail("capacity", resources.error().path + ": " + resources.error().reason);
  }
  info.connections = reader.Int("connections", 0, 0, kMaxConnections);
  info.leaving = reader.Bool("leaving", false);
  return info;
}

struct IntentToJson {
  json::object operator()(const RunIntent& intent) const {
    return {{"type", "run"}, {"task", ToJson(intent.spec)}, {"replicas", intent.replicas}};
  }
  json::object operator()(const SetTeamIntent& intent) const {
    return {{"type", "set_team"},
            {"team", intent.team.value()},
            {"share", intent.value.share},
            {"limit", intent.value.limit}};
  }
  json::object operator()(const RemoveTeamIntent& intent) const {
    return {{"type", "remove_team"}, {"team", intent.team.value()}};
  }
  json::object operator()(const GrantKeyIntent& intent) const {
    json::object object = KeyToJson(intent.value);
    object["type"] = "give_key";
    object["key"] = intent.key.value();
    return object;
  }
  json::object operator()(const RevokeKeyIntent& intent) const {
    return {{"type", "withdraw_key"}, {"key", intent.key.value()}};
  }
  json::object operator()(const SetDomainIntent& intent) const {
    return {{"type", intent.out_of_service ? "domain_out" : "domain_in"}, {"domain", intent.domain.value()}};
  }
  json::object operator()(const SetUpstreamIntent& intent) const {
    return {{"type", intent.out_of_service ? "upstream_out" : "upstream_in"}, {"upstream", intent.upstream.value()}};
  }
  json::object operator()(const SetPolicyIntent& intent) const {
    return {{"type", "set_policy"}, {"class", ToString(intent.work_class)}, {"policy", intent.policy}};
  }
};

Result<Intent> ReadRunIntent(FieldReader& reader, const std::string& path) {
  RunIntent intent;
  intent.replicas = reader.Int("replicas", 1, 1, kMaxReplicas);
  const json::object* task = reader.Object("task");
  if (task == nullptr) return Error{ErrorId::kInputField, path + "/task", "required object"};
  const Result<TaskSpec> spec = TaskSpecFromJson(*task, path + "/task");
  if (!spec) return spec.error();
  intent.spec = *spec;
  return Finish<Intent>(reader, intent);
}

}  // namespace

json::object ToJson(const Resources& resources) {
  return {{"cpu_millis", resources.cpu_millis},
          {"memory_mb", resources.memory_mb},
          {"accelerators", resources.accelerators},
          {"slots", resources.slots}};
}

Result<Resources> ResourcesFromJson(const json::object& object, const std::string& path) {
  FieldReader reader(object, path);
  Resources resources;
  resources.cpu_millis = reader.Int("cpu_millis", 0, 0, kMaxCpuMillis);
  resources.memory_mb = reader.Int("memory_mb", 0, 0, kMaxMemoryMb);
  resources.accelerators = reader.Int("accelerators", 0, 0, kMaxAccelerators);
  resources.slots = reader.Int("slots", 0, 0, kMaxSlots);
  return Finish(reader, resources);
}

json::object ToJson(const TaskSpec& spec) {
  json::object object = {{"id", spec.id.value()},
                         {"team", spec.team.value()},
                         {"kind", spec.kind},
                         {"class", ToString(spec.work_class)},
                         {"semantics", ToString(spec.semantics)},
                         {"demand", ToJson(spec.demand)},
                         {"declared_run_ms", spec.declared_run_ms},
                         {"body", spec.body}};
  if (!spec.idempotency_key.empty()) object["idempotency_key"] = spec.idempotency_key;
  if (!spec.gang.empty()) object["gang"] = spec.gang.value();
  if (spec.gang_size > 0) object["gang_size"] = spec.gang_size;
  if (!spec.domain.empty()) object["domain"] = spec.domain.value();
  return object;
}

Result<TaskSpec> TaskSpecFromJson(const json::object& object, const std::string& path) {
  FieldReader reader(object, path);
  TaskSpec spec;
  spec.id = TaskId(reader.String("id", "", kMaxNameBytes));
  spec.team = TeamId(reader.String("team", "", kMaxNameBytes));
  spec.kind = reader.String("kind", "", kMaxNameBytes);
  spec.work_class = reader.Enum("class", WorkClass::kBatch);
  spec.semantics = reader.Enum("semantics", Semantics::kIdempotent);
  if (const json::object* demand = reader.Object("demand")) {
    const Result<Resources> resources = ResourcesFromJson(*demand, path + "/demand");
    if (!resources) return resources.error();
    spec.demand = *resources;
  }
  if (spec.demand.slots == 0) spec.demand.slots = 1;
  spec.declared_run_ms = reader.Int("declared_run_ms", 0, 0, kMaxRunMs);
  spec.body = reader.String("body", "", kMaxBodyBytes);
  spec.idempotency_key = reader.String("idempotency_key", "", kMaxNameBytes);
  spec.gang = GangId(reader.String("gang", "", kMaxNameBytes));
  spec.gang_size = reader.Int("gang_size", 0, 0, kMaxReplicas);
  spec.domain = DomainId(reader.String("domain", "", kMaxNameBytes));
  return Finish(reader, std::move(spec));
}

json::object ToJson(const UpstreamInfo& info) {
  return {{"id", info.id.value()},   {"domain", info.domain.value()},     {"rack", info.rack},
          {"address", info.address}, {"capacity", ToJson(info.capacity)}, {"connections", info.connections},
          {"leaving", info.leaving}};
}

json::object ToJson(const InstanceList& list) {
  json::array upstreams;
  for (const UpstreamInfo& info : list.upstreams) upstreams.emplace_back(ToJson(info));
  return {{"upstreams", std::move(upstreams)}};
}

Result<InstanceList> InstanceListFromJson(const json::object& object, const std::string& path) {
  FieldReader reader(object, path);
  InstanceList list;
  const json::array* upstreams = reader.Array("upstreams");
  if (upstreams == nullptr) return Error{ErrorId::kInputField, path + "/upstreams", "required array"};
  for (const json::value& value : *upstreams) {
    if (!value.is_object()) return Error{ErrorId::kInputField, path + "/upstreams", "expected an array of objects"};
    const std::string item_path = fmt::format("{}/upstreams/{}", path, list.upstreams.size());
    FieldReader fields(value.get_object(), item_path);
    Result<UpstreamInfo> info = Finish(fields, ReadUpstream(fields, item_path));
    if (!info) return info.error();
    list.upstreams.push_back(std::move(*info));
  }
  return Finish(reader, std::move(list));
}

json::object ToJson(const ClusterConfig& config) {
  json::object teams;
  for (const auto& [id, team] : config.teams) teams[id.value()] = TeamToJson(team);
  json::object keys;
  for (const auto& [id, key] : config.keys) keys[id.value()] = KeyToJson(key);
  json::object policies;
  for (const auto& [work_class, policy] : config.policies) policies[ToString(work_class)] = policy;
  return {{"version", config.version},
          {"teams", std::move(teams)},
          {"keys", std::move(keys)},
          {"domains_out", IdsToJson(config.domains_out_of_service)},
          {"upstreams_out", IdsToJson(config.upstreams_out_of_service)},
          {"policies", std::move(policies)}};
}

Result<ClusterConfig> ClusterConfigFromJson(const json::object& object, const std::string& path) {
  FieldReader reader(object, path);
  ClusterConfig config;
  config.version = reader.Int("version", 0, 0, kMaxCounter);
  ReadTeams(reader, path, config);
  ReadKeys(reader, path, config);
  config.domains_out_of_service = ReadIds<DomainId>(reader, "domains_out");
  config.upstreams_out_of_service = ReadIds<UpstreamId>(reader, "upstreams_out");
  ReadPolicies(reader, config);
  return Finish(reader, std::move(config));
}

json::object ToJson(const Intent& intent) { return std::visit(IntentToJson{}, intent); }

Result<Intent> IntentFromJson(const json::object& object, const std::string& path) {
  FieldReader reader(object, path);
  const std::string type = reader.RequiredString("type", kMaxNameBytes);
  if (type == "run") return ReadRunIntent(reader, path);
  Intent intent;
  if (type == "set_team") {
    const TeamId team = ReadId<TeamTag>(reader, "team");
    intent = SetTeamIntent{team, ReadTeam(reader)};
  } else if (type == "remove_team") {
    intent = RemoveTeamIntent{ReadId<TeamTag>(reader, "team")};
  } else if (type == "give_key") {
    const KeyId key = ReadId<KeyTag>(reader, "key");
    intent = GrantKeyIntent{key, ReadKey(reader)};
  } else if (type == "withdraw_key") {
    intent = RevokeKeyIntent{ReadId<KeyTag>(reader, "key")};
  } else if (type == "domain_out" || type == "domain_in") {
    intent = SetDomainIntent{ReadId<DomainTag>(reader, "domain"), type == "domain_out"};
  } else if (type == "upstream_out" || type == "upstream_in") {
    intent = SetUpstreamIntent{ReadId<UpstreamTag>(reader, "upstream"), type == "upstream_out"};
  } else if (type == "set_policy") {
    const WorkClass work_class = reader.Enum("class", WorkClass::kBatch);
    intent = SetPolicyIntent{work_class, reader.RequiredString("policy", kMaxNameBytes)};
  } else {
    return Error{ErrorId::kInputField, path + "/type", "unknown intent '" + type + "'"};
  }
  return Finish(reader, std::move(intent));
}

json::object ToJson(const Plan& plan) {
  json::array intents;
  for (const Intent& intent : plan.intents) intents.emplace_back(ToJson(intent));
  json::object capacity;
  for (const auto& [domain, resources] : plan.capacity) capacity[domain.value()] = ToJson(resources);
  json::object headroom;
  for (const auto& [team, count] : plan.headroom) headroom[team.value()] = count;
  return {{"id", plan.id.value()},
          {"base_version", plan.base_version},
          {"intents", std::move(intents)},
          {"starts", ToJsonArray(plan.starts)},
          {"moves", ToJsonArray(plan.moves)},
          {"stops", ToJsonArray(plan.stops)},
          {"refusals", ToJsonArray(plan.refusals)},
          {"capacity", std::move(capacity)},
          {"headroom", std::move(headroom)}};
}

}  // namespace jaymast
