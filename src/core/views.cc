#include "core/views.h"

#include <boost/json.hpp>
#include <map>
#include <set>
#include <utility>

#include "core/entry_node.h"
#include "model/codec.h"

namespace jaymast {
namespace {

namespace json = boost::json;

json::object Status(const EntryNode& node) {
  const Membership& membership = node.membership();
  json::array lagging;
  for (const auto& [id, peer] : membership.peers()) {
    if (peer.record.config_version < node.config().config().version) lagging.emplace_back(id.value());
  }
  return {{"entry", node.id().value()},
          {"domain", node.settings().domain.value()},
          {"state", ToString(membership.state())},
          {"lease_valid", membership.IsLeaseValid()},
          {"store_reachable", node.table().IsReachable()},
          {"config_version", node.config().config().version},
          {"entries_on_older_config", std::move(lagging)},
          {"entries", static_cast<std::int64_t>(membership.peers().size() + 1)},
          {"owned_upstreams", static_cast<std::int64_t>(node.ownership().OwnedCount())},
          {"free", ToJson(node.executor().placer().Free())},
          {"capacity", ToJson(node.executor().placer().TotalCapacity())},
          {"running", static_cast<std::int64_t>(node.executor().RunningCount())},
          {"waiting_at_owner", static_cast<std::int64_t>(node.executor().waiting())},
          {"queued", static_cast<std::int64_t>(node.tasks().queued())}};
}

json::array Teams(const EntryNode& node) {
  json::array teams;
  double total_share = 0;
  for (const auto& [id, team] : node.config().config().teams) total_share += static_cast<double>(team.share);
  for (const auto& [id, team] : node.config().config().teams) {
    const double share = total_share > 0 ? static_cast<double>(team.share) / total_share : 0;
    teams.emplace_back(json::object{{"team", id.value()},
                                    {"share", team.share},
                                    {"share_fraction", share},
                                    {"limit", team.limit},
                                    {"running_here", node.allotments().Used(id)},
                                    {"allotment_here", node.allotments().Allowed(id)}});
  }
  return teams;
}

json::array Upstreams(const EntryNode& node) {
  json::array upstreams;
  const ClusterConfig& config = node.config().config();
  for (const UpstreamInfo& info : node.instances().upstreams) {
    const auto owner = node.ownership().FindOwner(info.id);
    json::object object = ToJson(info);
    object["out"] =
        config.upstreams_out_of_service.contains(info.id) || config.domains_out_of_service.contains(info.domain);
    object["owner"] = owner ? owner->value() : std::string();
    const auto owned = node.executor().upstreams().find(info.id);
    if (owned != node.executor().upstreams().end()) {
      object["epoch"] = owned->second.epoch;
      object["reachable"] = owned->second.is_reachable;
      object["ejected"] = owned->second.health.IsEjected();
      object["used"] = ToJson(node.executor().placer().Used(info.id));
      object["tasks"] = static_cast<std::int64_t>(owned->second.tasks.size());
    }
    upstreams.emplace_back(std::move(object));
  }
  return upstreams;
}

json::object TaskRow(const HomeTask& task) {
  const bool has_ended = task.phase == HomeTaskPhase::kEnded;
  return {{"id", task.spec.id.value()},
          {"team", task.spec.team.value()},
          {"kind", task.spec.kind},
          {"class", ToString(task.spec.work_class)},
          {"state", has_ended ? ToString(task.end.state) : ToString(task.phase)},
          {"attempt", task.attempt},
          {"upstream", task.upstream.value()},
          {"gang", task.spec.gang.value()},
          {"reason", has_ended ? std::string() : task.wait_reason}};
}

json::array Tasks(const EntryNode& node) {
  constexpr std::size_t kMaxRows = 1000;
  json::array tasks;
  for (const auto& [id, task] : node.tasks().tasks()) {
    if (tasks.size() >= kMaxRows) break;
    tasks.emplace_back(TaskRow(task));
  }
  return tasks;
}

json::array Domains(const EntryNode& node) {
  struct Totals {
    Resources capacity;
    std::int64_t upstreams = 0;
    std::int64_t leaving = 0;
  };
  std::map<DomainId, Totals> totals;
  for (const UpstreamInfo& info : node.instances().upstreams) {
    Totals& domain = totals[info.domain];
    domain.capacity += info.capacity;
    ++domain.upstreams;
    domain.leaving += info.leaving ? 1 : 0;
  }
  json::array domains;
  for (const auto& [id, domain] : totals) {
    domains.emplace_back(json::object{{"domain", id.value()},
                                      {"out", node.config().config().domains_out_of_service.contains(id)},
                                      {"upstreams", domain.upstreams},
                                      {"leaving", domain.leaving},
                                      {"capacity", ToJson(domain.capacity)}});
  }
  return domains;
}

json::array Entries(const EntryNode& node) {
  json::array entries;
  entries.emplace_back(json::object{{"entry", node.id().value()},
                                    {"domain", node.settings().domain.value()},
                                    {"state", ToString(node.membership().state())},
                                    {"config_version", node.config().config().version},
                                    {"heard", true}});
  for (const auto& [id, peer] : node.membership().peers()) {
    entries.emplace_back(json::object{{"entry", id.value()},
                                      {"domain", peer.record.domain.value()},
                                      {"state", ToString(peer.record.state)},
                                      {"config_version", peer.record.config_version},
                                      {"heard", node.membership().HasRecentHeartbeat(id)}});
  }
  return entries;
}

json::array Keys(const EntryNode& node) {
  json::array keys;
  for (const auto& [id, key] : node.config().config().keys) {
    keys.emplace_back(json::object{{"key", id.value()}, {"team", key.team.value()}, {"role", ToString(key.role)}});
  }
  return keys;
}

json::object Explain(const EntryNode& node, const TaskId& id) {
  const auto found = node.tasks().tasks().find(id);
  if (found == node.tasks().tasks().end()) {
    return {{"task", id.value()}, {"state", "unknown"}, {"reason", "this entry is not the home of the task"}};
  }
  const HomeTask& task = found->second;
  json::object object = TaskRow(task);
  const Resources free = node.executor().placer().Free();
  const std::int64_t used = node.allotments().Used(task.spec.team);
  object["reason"] = task.phase == HomeTaskPhase::kEnded ? task.end.output : task.wait_reason;
  object["demand"] = ToJson(task.spec.demand);
  object["free_here"] = ToJson(free);
  object["team_running_here"] = used;
  object["team_allotment_here"] = node.allotments().Allowed(task.spec.team);
  json::array refused;
  for (const EntryId& entry : task.refused_by) refused.emplace_back(entry.value());
  object["refused_by"] = std::move(refused);
  if (const auto error = CheckDemand(task.spec.demand, task.spec.domain, node.instances())) {
    object["constraint"] = error->path + ": " + error->reason;
  } else if (used >= node.allotments().Allowed(task.spec.team)) {
    object["constraint"] = "limit: the team's allotment at this entry is in use; a finished task of the team frees it";
  } else if (!task.spec.demand.FitsIn(free)) {
    object["constraint"] = "capacity: the demand exceeds what is free at this entry; finished tasks free it";
  } else {
    object["constraint"] = "none at this entry";
  }
  return object;
}

}  // namespace

std::string RenderView(const EntryNode& node, View view, const TaskId& task) {
  switch (view) {
    case View::kStatus:
      return json::serialize(Status(node));
    case View::kTeams:
      return json::serialize(json::object{{"teams", Teams(node)}});
    case View::kUpstreams:
      return json::serialize(json::object{{"upstreams", Upstreams(node)}});
    case View::kTasks:
      return json::serialize(json::object{{"tasks", Tasks(node)}});
    case View::kDomains:
      return json::serialize(json::object{{"domains", Domains(node)}});
    case View::kEntries:
      return json::serialize(json::object{{"entries", Entries(node)}});
    case View::kKeys:
      return json::serialize(json::object{{"keys", Keys(node)}});
    case View::kExplain:
      return json::serialize(Explain(node, task));
  }
  return "{}";
}

}  // namespace jaymast
