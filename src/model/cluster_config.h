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

/// What the bearer of a key may do.
enum class Role { kSubmitter, kOperator };

template <>
struct EnumNames<Role> {
  static constexpr std::array<std::string_view, 2> kNames = {"submitter", "operator"};
};

struct Team {
  std::int64_t share = 1;  ///< weight in weighted dominant-resource fairness
  std::int64_t limit = 0;  ///< most tasks that may run at once over the whole fleet

  friend bool operator==(const Team&, const Team&) = default;
};

struct ApiKey {
  std::string sha256;  ///< hash of the secret, as hexadecimal digits
  TeamId team;
  Role role = Role::kSubmitter;

  friend bool operator==(const ApiKey&, const ApiKey&) = default;
};

/// The versioned configuration of the whole cluster. One version is in force at an entry at a time.
struct ClusterConfig {
  std::int64_t version = 0;
  std::map<TeamId, Team> teams;
  std::map<KeyId, ApiKey> keys;
  std::set<DomainId> domains_out_of_service;
  std::set<UpstreamId> upstreams_out_of_service;
  std::map<WorkClass, std::string> policies;  ///< name of the placement policy of a class of work

  friend bool operator==(const ClusterConfig&, const ClusterConfig&) = default;
};

}  // namespace jaymast
