#include "standin_server/standin_settings.h"

#include <chrono>
#include <cstdint>
#include <set>
#include <string_view>
#include <utility>

#include "runtime/toml_reader.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kMaxThreads = 64;
constexpr std::int64_t kMaxRate = 1'000'000;
constexpr std::int64_t kMaxCpuMillis = 1'000'000;
constexpr std::int64_t kMaxMemoryMb = 64LL * 1024 * 1024;
constexpr std::int64_t kMaxAccelerators = 1024;
constexpr std::int64_t kMaxSlots = 4096;
constexpr std::int64_t kMaxConnections = 65'536;
constexpr std::int64_t kMaxObjectMb = 4096;
constexpr std::size_t kBytesPerMb = 1U << 20U;
constexpr double kMaxFactor = 100;
constexpr milliseconds kMaxDelay{600'000};

/// An instance as the platform lists it. The keys are the same for runners and for instances of other processes.
UpstreamInfo ReadInstance(TomlReader& reader) {
  UpstreamInfo info;
  info.id = UpstreamId(reader.RequiredString("id"));
  info.domain = DomainId(reader.RequiredString("domain"));
  info.rack = reader.String("rack", "");
  info.address = reader.RequiredString("address");
  info.capacity.cpu_millis = reader.Int("cpu_millis", 32'000, 0, kMaxCpuMillis);
  info.capacity.memory_mb = reader.Int("memory_mb", 131'072, 0, kMaxMemoryMb);
  info.capacity.accelerators = reader.Int("accelerators", 0, 0, kMaxAccelerators);
  info.capacity.slots = reader.Int("slots", 8, 1, kMaxSlots);
  info.connections = reader.Int("connections", 64, 1, kMaxConnections);
  return info;
}

StandinRunner ReadRunner(TomlReader& reader) {
  StandinRunner runner;
  runner.info = ReadInstance(reader);
  runner.settings.name = "runner-" + runner.info.id.value();
  runner.settings.upstream = runner.info.id;
  runner.settings.domain = runner.info.domain;
  runner.settings.capacity = runner.info.capacity;
  runner.settings.connections = runner.info.connections;
  runner.settings.run_time_factor = reader.Double("run_time_factor", 1.0, 0.0, kMaxFactor);
  runner.settings.usage_factor = reader.Double("usage_factor", 1.0, 0.0, kMaxFactor);
  runner.listed = reader.Bool("listed", true);
  return runner;
}

StandinPlatformSettings ReadPlatform(TomlReader reader) {
  StandinPlatformSettings platform;
  platform.address = reader.RequiredString("address");
  platform.reads_per_second = reader.Int("reads_per_second", platform.reads_per_second, 0, kMaxRate);
  platform.writes_per_second = reader.Int("writes_per_second", platform.writes_per_second, 0, kMaxRate);
  const auto object_mb = static_cast<std::int64_t>(platform.max_object_bytes / kBytesPerMb);
  platform.max_object_bytes =
      static_cast<std::size_t>(reader.Int("max_object_mb", object_mb, 1, kMaxObjectMb)) * kBytesPerMb;
  const auto lag = std::chrono::duration_cast<milliseconds>(platform.list_lag);
  platform.list_lag = reader.Millis("list_lag_ms", lag, milliseconds(0), kMaxDelay);
  platform.faults.latency = reader.Millis("latency_ms", milliseconds(0), milliseconds(0), kMaxDelay);
  for (TomlReader& instance : reader.Tables("instance")) {
    platform.instances.upstreams.push_back(ReadInstance(instance));
  }
  return platform;
}

}  // namespace

Result<StandinSettings> ReadStandinSettings(TomlReader reader) {
  StandinSettings settings;
  settings.control = reader.String("control", "");
  settings.events = reader.String("events", settings.events);
  const auto threads = static_cast<std::int64_t>(settings.threads);
  settings.threads = static_cast<std::size_t>(reader.Int("threads", threads, 1, kMaxThreads));
  if (reader.Bool("serve_platform", true)) settings.platform = ReadPlatform(reader.Table("platform"));
  std::set<UpstreamId> ids;
  for (TomlReader& runner : reader.Tables("runner")) {
    settings.runners.push_back(ReadRunner(runner));
    if (!ids.insert(settings.runners.back().info.id).second) runner.Fail("id", "another runner has the same id");
  }
  if (const auto error = reader.Finish()) return *error;
  return settings;
}

}  // namespace jaymast
