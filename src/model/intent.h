#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "model/cluster_config.h"
#include "model/task_spec.h"

namespace jaymast {

/// Starts `replicas` tasks of one specification: a service, a batch, or a gang when the class is gang.
struct RunIntent {
  TaskSpec spec;
  std::int64_t replicas = 1;
};

struct SetTeamIntent {
  TeamId team;
  Team value;
};

struct RemoveTeamIntent {
  TeamId team;
};

struct GrantKeyIntent {
  KeyId key;
  ApiKey value;
};

struct RevokeKeyIntent {
  KeyId key;
};

struct SetDomainIntent {
  DomainId domain;
  bool out_of_service = false;
};

struct SetUpstreamIntent {
  UpstreamId upstream;
  bool out_of_service = false;
};

struct SetPolicyIntent {
  WorkClass work_class = WorkClass::kBatch;
  std::string policy;
};

using Intent = std::variant<RunIntent, SetTeamIntent, RemoveTeamIntent, GrantKeyIntent, RevokeKeyIntent,
                            SetDomainIntent, SetUpstreamIntent, SetPolicyIntent>;

}  // namespace jaymast
