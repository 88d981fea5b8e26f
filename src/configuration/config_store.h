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

/// Holder of an authenticated key.
struct Principal {
  KeyId key;
  TeamId team;
  Role role = Role::kSubmitter;
};

/// Holds the configuration that this entry applies. Its version never decreases.
class ConfigStore {
 public:
  /// @param on_install called after a newer configuration was installed
  ConfigStore(Context& context, std::function<void()> on_install);

  const ClusterConfig& config() const { return m_config; }
  std::int64_t row_version() const { return m_row_version; }
  bool IsLoaded() const { return m_config.version > 0; }

  /// Installs the row `config` of the table if it is newer.
  void OnRow(const Row& row);

  /// Installs a configuration pushed by another entry if it is newer.
  void OnPush(const std::string& text);

  /// Installs a configuration that this entry committed.
  void OnCommitted(const ClusterConfig& config, std::int64_t row_version);

  /// Finds the key with this secret.
  /// @return the holder of the key, or kKeyMissing or kKeyUnknown
  Result<Principal> Authenticate(const std::string& secret) const;

 private:
  void Install(ClusterConfig config);

  Context& m_context;
  std::function<void()> m_on_install;
  ClusterConfig m_config;
  std::int64_t m_row_version = 0;
};

}  // namespace jaymast
