// Plans to take a failure domain out of service and prints what would change. Nothing is changed by a plan.
#include <iostream>
#include <vector>

#include "jaymast/jaymast.h"

namespace {

jaymast::UpstreamInfo Upstream(const char* id, const char* domain) {
  jaymast::UpstreamInfo info;
  info.id = jaymast::UpstreamId(id);
  info.domain = jaymast::DomainId(domain);
  info.capacity = jaymast::Resources{32'000, 131'072, 0, 8};
  return info;
}

}  // namespace

int main() {
  jaymast::ClusterConfig config;
  config.version = 4;
  config.teams[jaymast::TeamId("desk")] = jaymast::Team{1, 100};

  jaymast::PlannerFacts facts;
  facts.instances.upstreams = {Upstream("u1", "lahti"), Upstream("u2", "turku")};
  facts.placed[jaymast::UpstreamId("u1")] = {"t1"};
  facts.running[jaymast::TeamId("desk")] = 1;

  const std::vector<jaymast::Intent> intents = {jaymast::SetDomainIntent{jaymast::DomainId("lahti"), true}};
  const jaymast::Result<jaymast::Plan> plan = jaymast::MakePlan(config, intents, facts);
  if (!plan) {
    std::cerr << plan.error().path << ": " << plan.error().reason << "\n";
    return 1;
  }
  std::cout << "made from version " << plan->base_version << "\n";
  for (const std::string& task : plan->moves) std::cout << "move " << task << "\n";
  for (const auto& [domain, capacity] : plan->capacity) std::cout << domain << ": " << capacity.slots << " slots\n";
  for (const auto& [team, headroom] : plan->headroom) std::cout << team << ": headroom " << headroom << "\n";
}
