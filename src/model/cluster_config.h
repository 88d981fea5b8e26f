#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "base/id.h"
#include "model/task_spec.h"

namespace jaymast {

/// Permissions of an API key.
enum class Role { kSubmitter, kOperator };

template <>
struct EnumNames<Role> {
  static constexpr std::array<std::string_view, 2> kNames = {"submitter", "operator"};
};

struct Team {
  std::int64_t share = 1;  ///< weight in weighted dominant-resource fairness
  std::int64_t limit = 0;  ///< maximum number of running tasks in the cluster

  friend bool operator==(const Team&, const Team&) = default;
};

struct ApiKey {
  std::string sha256;  ///< digest of the secret, in hexadecimal digits
  TeamId team;
  Role role = Role::kSubmitter;

  friend bool operator==(const ApiKey&, const ApiKey&) = default;
};

/// The versioned configuration of the cluster. Each entry applies one version at a time.
struct ClusterConfig {
  std::int64_t version = 0;
  std::map<TeamId, Team> teams;
  std::map<KeyId, ApiKey> keys;
  std::set<DomainId> domains_out_of_service;
  std::set<UpstreamId> upstreams_out_of_service;
  std::map<WorkClass, std::string> policies;  ///< placement policy by class of work

  friend bool operator==(const ClusterConfig&, const ClusterConfig&) = default;
};

}  // namespace jaymast
