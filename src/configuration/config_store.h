#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/id.h"
#include "base/result.h"
#include "core/context.h"
#include "core/table.h"
#include "model/cluster_config.h"

namespace jaymast {

inline constexpr std::string_view kConfigKey = "config";

/// Who presented a key.
struct Principal {
  KeyId key;
  TeamId team;
  Role role = Role::kSubmitter;
};

/// The configuration in force at this entry. Its version never goes down.
class ConfigStore {
 public:
  /// @param on_install called after a newer configuration came into force
  ConfigStore(Context& context, std::function<void()> on_install);

  const ClusterConfig& config() const { return m_config; }
  std::int64_t row_version() const { return m_row_version; }
  bool IsLoaded() const { return m_config.version > 0; }

  /// Takes in the row `config` as read from the table.
  void OnRow(const Row& row);

  /// Takes in a configuration pushed by another entry.
  void OnPush(const std::string& text);

  /// Takes in a configuration that this entry committed.
  void OnCommitted(const ClusterConfig& config, std::int64_t row_version);

  /// Finds the key with this secret.
  /// @return who presented it, or kKeyMissing or kKeyUnknown
  Result<Principal> Authenticate(const std::string& secret) const;

 private:
  void Install(ClusterConfig config);

  Context& m_context;
  std::function<void()> m_on_install;
  ClusterConfig m_config;
  std::int64_t m_row_version = 0;
};

}  // namespace jaymast
