#include "configuration/config_store.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "base/hash.h"
#include "model/codec.h"

namespace jaymast {
namespace {

Result<ClusterConfig> Decode(const std::string& text) {
  const Result<boost::json::object> object = ParseObject(text, "config");
  if (!object) return object.error();
  return ClusterConfigFromJson(*object, "config");
}

}  // namespace

ConfigStore::ConfigStore(Context& context, std::function<void()> on_install)
    : m_context(context), m_on_install(std::move(on_install)) {}

void ConfigStore::OnRow(const Row& row) {
  if (row.version <= m_row_version) return;
  Result<ClusterConfig> config = Decode(row.value);
  if (!config) return;
  m_row_version = row.version;
  Install(std::move(*config));
}

void ConfigStore::OnPush(const std::string& text) {
  Result<ClusterConfig> config = Decode(text);
  if (config) Install(std::move(*config));
}

void ConfigStore::OnCommitted(const ClusterConfig& config, std::int64_t row_version) {
  m_row_version = std::max(m_row_version, row_version);
  Install(config);
}

void ConfigStore::Install(ClusterConfig config) {
  if (config.version <= m_config.version) return;
  m_config = std::move(config);
  Event event;
  event.kind = EventKind::kConfigInstalled;
  event.config_version = m_config.version;
  m_context.effects.Emit(event);
  m_on_install();
}

Result<Principal> ConfigStore::Authenticate(const std::string& secret) const {
  if (secret.empty()) return Error{ErrorId::kKeyMissing, "Authorization", "expected a bearer key, got none"};
  const std::string hash = Sha256Hex(secret);
  std::optional<Principal> found;
  // All keys are compared in constant time, so that the response time reveals nothing about them.
  for (const auto& [id, key] : m_config.keys) {
    if (ConstantTimeEqual(hash, key.sha256)) found = Principal{id, key.team, key.role};
  }
  if (!found) return Error{ErrorId::kKeyUnknown, "Authorization", "unknown or withdrawn key"};
  return *found;
}

}  // namespace jaymast
