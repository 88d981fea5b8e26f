#include "runtime/settings.h"

#include <utility>

#include "net/endpoint.h"
#include "runtime/toml_reader.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinInterval{1};
constexpr milliseconds kMaxInterval{3'600'000};
constexpr std::int64_t kMaxCount = 10'000'000;
constexpr std::int64_t kMaxBytes = 1LL << 30U;
constexpr std::int64_t kMaxHeldBytes = 1LL << 40U;
constexpr std::int64_t kMaxThreads = 64;
constexpr std::int64_t kMaxDescriptor = 65'535;
constexpr std::int64_t kMaxLogLevel = 3;

void ReadInterval(TomlReader& reader, std::string_view key, milliseconds& value) {
  value = reader.Millis(key, value, kMinInterval, kMaxInterval);
}

void ReadInterval(TomlReader& reader, std::string_view key, Duration& value) {
  value = reader.Millis(key, std::chrono::duration_cast<milliseconds>(value), kMinInterval, kMaxInterval);
}

void ReadCount(TomlReader& reader, std::string_view key, std::int64_t& value) {
  value = reader.Int(key, value, 1, kMaxCount);
}

void ReadSize(TomlReader& reader, std::string_view key, std::size_t& value, std::int64_t max) {
  value = static_cast<std::size_t>(reader.Int(key, static_cast<std::int64_t>(value), 1, max));
}

std::string CheckAddress(TomlReader& reader, std::string_view key, std::string address) {
  if (!address.empty() && !ParseEndpoint(address)) reader.Fail(key, "expected IP:port with a numeric IP address");
  return address;
}

std::string RequiredAddress(TomlReader& reader, std::string_view key) {
  return CheckAddress(reader, key, reader.RequiredString(key));
}

TlsFiles ReadTls(TomlReader reader) {
  TlsFiles files;
  files.certificate = reader.String("certificate", "");
  files.key = reader.String("key", "");
  files.authority = reader.String("authority", "");
  files.require_certificate = reader.Bool("require_certificate", false);
  if (files.certificate.empty() != files.key.empty()) reader.Fail("key", "expected together with 'certificate'");
  if (files.require_certificate && files.authority.empty()) reader.Fail("authority", "required to check certificates");
  return files;
}

void ReadHttp(TomlReader reader, Settings& settings) {
  HttpServerOptions& http = settings.http;
  http.address = RequiredAddress(reader, "address");
  ReadSize(reader, "max_body_bytes", http.max_body_bytes, kMaxBytes);
  ReadSize(reader, "max_header_bytes", http.max_header_bytes, kMaxBytes);
  http.max_held_bytes = static_cast<std::size_t>(reader.Int("max_held_bytes", 0, 0, kMaxHeldBytes));
  ReadSize(reader, "max_connections", http.max_connections, kMaxCount);
  ReadInterval(reader, "idle_timeout_ms", http.idle_timeout);
  ReadInterval(reader, "header_timeout_ms", http.header_timeout);
  ReadInterval(reader, "body_timeout_ms", http.body_timeout);
  ReadInterval(reader, "write_timeout_ms", http.write_timeout);
  ReadInterval(reader, "preview_deadline_ms", settings.preview_deadline);
  settings.http_tls = ReadTls(reader.Table("tls"));
}

void ReadPeer(TomlReader reader, Settings& settings) {
  PeerLinksOptions& peer = settings.peer;
  peer.address = RequiredAddress(reader, "address");
  settings.core.peer_address = CheckAddress(reader, "advertise", reader.String("advertise", peer.address));
  ReadSize(reader, "max_frame_bytes", peer.max_frame_bytes, kMaxBytes);
  ReadSize(reader, "max_queued_bytes", peer.max_queued_bytes, kMaxBytes);
  ReadInterval(reader, "connect_timeout_ms", peer.connect_timeout);
  ReadInterval(reader, "send_timeout_ms", peer.send_timeout);
  settings.peer_tls = ReadTls(reader.Table("tls"));
}

void ReadPlatform(TomlReader reader, PlatformSettings& platform) {
  platform.table = RequiredAddress(reader, "table");
  platform.instances = RequiredAddress(reader, "instances");
  ReadInterval(reader, "table_timeout_ms", platform.table_timeout);
  ReadInterval(reader, "instances_timeout_ms", platform.instances_timeout);
  ReadInterval(reader, "instances_interval_ms", platform.instances_interval);
}

void ReadUpstream(TomlReader reader, HttpClientOptions& upstream) {
  // Half of the 64 connections that a runner accepts, so that the next owner can connect while this one is connected.
  constexpr std::size_t kDefaultConnections = 32;
  upstream.max_connections_per_host = kDefaultConnections;
  ReadSize(reader, "max_connections", upstream.max_connections_per_host, kMaxCount);
  ReadSize(reader, "max_queued", upstream.max_queued_per_host, kMaxCount);
  ReadSize(reader, "max_response_bytes", upstream.max_response_bytes, kMaxBytes);
  ReadSize(reader, "max_held_bytes", upstream.max_held_bytes, kMaxHeldBytes);
  ReadInterval(reader, "idle_timeout_ms", upstream.idle_timeout);
}

void ReadEvents(TomlReader reader, EventSettings& events) {
  events.output = reader.Enum("output", EventOutput::kStdout);
  events.descriptor = static_cast<int>(reader.Int("fd", -1, -1, kMaxDescriptor));
  events.address = CheckAddress(reader, "address", reader.String("address", ""));
  ReadSize(reader, "ring_lines", events.ring_lines, kMaxCount);
  ReadSize(reader, "queue_lines", events.queue_lines, kMaxCount);
  if (events.output == EventOutput::kDescriptor && events.descriptor < 0) reader.Fail("fd", "required for output 'fd'");
  if (events.output == EventOutput::kTcp && events.address.empty()) {
    reader.Fail("address", "required for output 'tcp'");
  }
}

void ReadCore(TomlReader reader, EntrySettings& core) {
  ReadInterval(reader, "renew_interval_ms", core.renew_interval);
  ReadInterval(reader, "lease_duration_ms", core.lease_duration);
  ReadInterval(reader, "drift_bound_ms", core.drift_bound);
  ReadInterval(reader, "summary_interval_ms", core.summary_interval);
  ReadInterval(reader, "peer_silence_ms", core.peer_silence);
  ReadInterval(reader, "journal_interval_ms", core.journal_interval);
  ReadInterval(reader, "hold_duration_ms", core.hold_duration);
  ReadInterval(reader, "task_lease_ms", core.task_lease);
  ReadInterval(reader, "upstream_call_timeout_ms", core.upstream_call_timeout);
  ReadInterval(reader, "upstream_renew_interval_ms", core.upstream_renew_interval);
  ReadInterval(reader, "handover_interval_ms", core.handover_interval);
  ReadInterval(reader, "domain_return_ramp_ms", core.domain_return_ramp);
  ReadInterval(reader, "drain_wait_ms", core.drain_wait);
  ReadCount(reader, "table_writes_per_second", core.table_writes_per_second);
  ReadCount(reader, "max_queued_tasks", core.max_queued_tasks);
  ReadCount(reader, "max_open_requests", core.max_open_requests);
  ReadCount(reader, "max_retained_outcomes", core.max_retained_outcomes);
  if (core.renew_interval >= core.lease_duration) {
    reader.Fail("renew_interval_ms", "expected less than lease_duration_ms");
  }
}

ApiKey ReadKey(TomlReader& reader) {
  constexpr std::size_t kSha256HexLength = 64;
  ApiKey key;
  key.sha256 = reader.RequiredString("sha256");
  const bool is_hex = key.sha256.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (key.sha256.size() != kSha256HexLength || !is_hex) reader.Fail("sha256", "expected 64 hexadecimal digits");
  key.team = TeamId(reader.RequiredString("team"));
  key.role = reader.Enum("role", Role::kSubmitter);
  return key;
}

void ReadInitial(TomlReader reader, ClusterConfig& config) {
  for (auto& [name, team] : reader.NamedTables("teams")) {
    config.teams[TeamId(name)] = Team{team.Int("share", 1, 1, kMaxCount), team.Int("limit", 0, 0, kMaxCount)};
  }
  for (auto& [name, key] : reader.NamedTables("keys")) config.keys[KeyId(name)] = ReadKey(key);
  for (const std::string& domain : reader.Strings("domains_out")) {
    config.domains_out_of_service.insert(DomainId(domain));
  }
  TomlReader policies = reader.Table("policies");
  for (const std::string_view name : EnumNames<WorkClass>::kNames) {
    const std::string policy = policies.String(name, "");
    if (!policy.empty()) config.policies[*FromString<WorkClass>(name)] = policy;
  }
}

}  // namespace

Result<Settings> ReadSettings(TomlReader reader) {
  Settings settings;
  settings.core.name = reader.RequiredString("name");
  settings.core.domain = DomainId(reader.RequiredString("domain"));
  ReadSize(reader, "traffic_threads", settings.traffic_threads, kMaxThreads);
  ReadInterval(reader, "stop_timeout_ms", settings.stop_timeout);
  ReadInterval(reader, "tls_reload_interval_ms", settings.tls_reload_interval);
  settings.log_level = static_cast<int>(reader.Int("log_level", 0, 0, kMaxLogLevel));
  ReadHttp(reader.Table("http"), settings);
  ReadPeer(reader.Table("peer"), settings);
  ReadPlatform(reader.Table("platform"), settings.platform);
  ReadUpstream(reader.Table("upstream"), settings.upstream);
  ReadEvents(reader.Table("events"), settings.events);
  ReadCore(reader.Table("core"), settings.core);
  ReadInitial(reader.Table("initial"), settings.core.initial_config);
  if (const std::optional<Error> error = reader.Finish()) return *error;
  return settings;
}

}  // namespace jaymast
