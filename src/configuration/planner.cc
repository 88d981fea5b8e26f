#include "configuration/planner.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace jaymast {
namespace {

/// Applies one intent to the plan. Returns an error for an invalid intent.
class IntentApplier {
 public:
  IntentApplier(Plan& plan, const PlannerFacts& facts) : m_plan(plan), m_facts(facts) {}

  std::optional<Error> operator()(const RunIntent& intent) {
    const auto team = m_plan.target.teams.find(intent.spec.team);
    if (team == m_plan.target.teams.end()) return UnknownTeam(intent.spec.team);
    if (const auto error = CheckDemand(intent.spec.demand, intent.spec.domain, m_facts.instances)) {
      m_plan.refusals.push_back(fmt::format("{}: {}", intent.spec.kind, error->reason));
      return std::nullopt;
    }
    m_plan.starts.push_back(fmt::format("{} x {} ({}, team {})", intent.replicas, intent.spec.kind,
                                        ToString(intent.spec.work_class), intent.spec.team.value()));
    return std::nullopt;
  }

  std::optional<Error> operator()(const SetTeamIntent& intent) {
    m_plan.target.teams[intent.team] = intent.value;
    const auto running = m_facts.running.find(intent.team);
    if (running != m_facts.running.end() && running->second > intent.value.limit) {
      m_plan.stops.push_back(fmt::format("team {}: {} tasks above the new limit finish before new ones start",
                                         intent.team.value(), running->second - intent.value.limit));
    }
    return std::nullopt;
  }

  std::optional<Error> operator()(const RemoveTeamIntent& intent) {
    if (m_plan.target.teams.erase(intent.team) == 0) return UnknownTeam(intent.team);
    std::erase_if(m_plan.target.keys, [&intent](const auto& key) { return key.second.team == intent.team; });
    m_plan.refusals.push_back(fmt::format("all further work of team {}", intent.team.value()));
    return std::nullopt;
  }

  std::optional<Error> operator()(const GrantKeyIntent& intent) {
    const bool is_known = m_plan.target.teams.contains(intent.value.team) || intent.value.role == Role::kOperator;
    if (!is_known) return UnknownTeam(intent.value.team);
    m_plan.target.keys[intent.key] = intent.value;
    return std::nullopt;
  }

  std::optional<Error> operator()(const RevokeKeyIntent& intent) {
    if (m_plan.target.keys.erase(intent.key) == 0) {
      return Error{ErrorId::kKeyUnknown, "/key", "no key named '" + intent.key.value() + "'"};
    }
    m_plan.refusals.push_back(fmt::format("all further requests with key {}", intent.key.value()));
    return std::nullopt;
  }

  std::optional<Error> operator()(const SetDomainIntent& intent) {
    const bool is_known = std::any_of(m_facts.instances.upstreams.begin(), m_facts.instances.upstreams.end(),
                                      [&intent](const UpstreamInfo& info) { return info.domain == intent.domain; });
    if (!is_known && intent.out_of_service) {
      return Error{ErrorId::kInputField, "/domain", "no upstream is in failure domain '" + intent.domain.value() + "'"};
    }
    if (!intent.out_of_service) {
      m_plan.target.domains_out_of_service.erase(intent.domain);
      return std::nullopt;
    }
    m_plan.target.domains_out_of_service.insert(intent.domain);
    for (const UpstreamInfo& info : m_facts.instances.upstreams) {
      if (info.domain == intent.domain) AddMoves(info.id);
    }
    return std::nullopt;
  }

  std::optional<Error> operator()(const SetUpstreamIntent& intent) {
    if (!intent.out_of_service) {
      m_plan.target.upstreams_out_of_service.erase(intent.upstream);
      return std::nullopt;
    }
    m_plan.target.upstreams_out_of_service.insert(intent.upstream);
    AddMoves(intent.upstream);
    return std::nullopt;
  }

  std::optional<Error> operator()(const SetPolicyIntent& intent) {
    m_plan.target.policies[intent.work_class] = intent.policy;
    return std::nullopt;
  }

 private:
  static Error UnknownTeam(const TeamId& team) {
    return Error{ErrorId::kTeamUnknown, "/team", "no team named '" + team.value() + "'"};
  }

  void AddMoves(const UpstreamId& upstream) {
    const auto placed = m_facts.placed.find(upstream);
    if (placed == m_facts.placed.end()) return;
    for (const std::string& task : placed->second) m_plan.moves.push_back(task);
  }

  Plan& m_plan;
  const PlannerFacts& m_facts;
};

void AddCapacity(const PlannerFacts& facts, Plan& plan) {
  for (const UpstreamInfo& info : facts.instances.upstreams) {
    Resources& capacity = plan.capacity[info.domain];
    const bool is_out = info.leaving || plan.target.domains_out_of_service.contains(info.domain) ||
                        plan.target.upstreams_out_of_service.contains(info.id);
    if (!is_out) capacity += info.capacity;
  }
  for (const auto& [team, value] : plan.target.teams) {
    const auto running = facts.running.find(team);
    plan.headroom[team] = value.limit - (running == facts.running.end() ? 0 : running->second);
  }
}

}  // namespace

Result<Plan> MakePlan(const ClusterConfig& config, const std::vector<Intent>& intents, const PlannerFacts& facts) {
  Plan plan;
  plan.base_version = config.version;
  plan.intents = intents;
  plan.target = config;
  IntentApplier applier(plan, facts);
  for (std::size_t i = 0; i < intents.size(); ++i) {
    std::optional<Error> error = std::visit(applier, intents[i]);
    if (!error) continue;
    error->path = fmt::format("/intents/{}{}", i, error->path);
    return *error;
  }
  AddCapacity(facts, plan);
  return plan;
}

std::optional<Error> CheckDemand(const Resources& demand, const DomainId& domain, const InstanceList& instances) {
  Resources largest;
  bool fits = false;
  for (const UpstreamInfo& info : instances.upstreams) {
    if (!domain.empty() && info.domain != domain) continue;
    fits = fits || demand.FitsIn(info.capacity);
    largest.cpu_millis = std::max(largest.cpu_millis, info.capacity.cpu_millis);
    largest.memory_mb = std::max(largest.memory_mb, info.capacity.memory_mb);
    largest.accelerators = std::max(largest.accelerators, info.capacity.accelerators);
    largest.slots = std::max(largest.slots, info.capacity.slots);
  }
  if (fits || instances.upstreams.empty()) return std::nullopt;
  const auto impossible = [](const char* name, std::int64_t wanted, std::int64_t most) {
    return Error{ErrorId::kDemandImpossible, fmt::format("/demand/{}", name),
                 fmt::format("the demand is {}, the largest upstream has {}", wanted, most)};
  };
  if (demand.cpu_millis > largest.cpu_millis) return impossible("cpu_millis", demand.cpu_millis, largest.cpu_millis);
  if (demand.memory_mb > largest.memory_mb) return impossible("memory_mb", demand.memory_mb, largest.memory_mb);
  if (demand.accelerators > largest.accelerators) {
    return impossible("accelerators", demand.accelerators, largest.accelerators);
  }
  if (demand.slots > largest.slots) return impossible("slots", demand.slots, largest.slots);
  return Error{ErrorId::kDemandImpossible, "/demand", "no single upstream has the demanded combination of resources"};
}

}  // namespace jaymast
