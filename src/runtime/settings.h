#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "base/result.h"
#include "core/entry_settings.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/peer_links.h"
#include "net/tls_context.h"

namespace jaymast {

class TomlReader;

/// Destination of the event log.
enum class EventOutput { kNone, kStdout, kDescriptor, kTcp };

template <>
struct EnumNames<EventOutput> {
  static constexpr std::array<std::string_view, 4> kNames = {"none", "stdout", "fd", "tcp"};
};

struct EventSettings {
  EventOutput output = EventOutput::kStdout;
  int descriptor = -1;                ///< for output "fd"
  std::string address;                ///< IP number and port for output "tcp"
  std::size_t ring_lines = 10'000;    ///< lines kept for /v1/events
  std::size_t queue_lines = 100'000;  ///< lines queued for writing; more are dropped and counted
};

/// Addresses of the platform services, and the timeouts and interval of calls to them.
struct PlatformSettings {
  std::string table;      ///< IP number and port
  std::string instances;  ///< IP number and port
  std::chrono::milliseconds table_timeout{1'000};
  std::chrono::milliseconds instances_timeout{1'000};
  std::chrono::milliseconds instances_interval{1'000};
};

/// Settings of the program jaymast-entry.
struct Settings {
  EntrySettings core;
  HttpServerOptions http;
  TlsFiles http_tls;  ///< no TLS when the certificate is empty
  PeerLinksOptions peer;
  TlsFiles peer_tls;  ///< used by both sides of a link; no TLS when the certificate is empty
  HttpClientOptions upstream;
  PlatformSettings platform;
  EventSettings events;
  std::size_t traffic_threads = 4;
  std::chrono::milliseconds tls_reload_interval{60'000};
  std::chrono::milliseconds stop_timeout{30'000};     ///< maximum duration of a graceful stop
  std::chrono::milliseconds preview_deadline{2'000};  ///< of previews without the header Jaymast-Deadline-Ms
  int log_level = 0;                                  ///< minimum glog severity that is logged
};

/// Reads the settings of the program jaymast-entry.
/// @return the settings, or the first error with its file, line and key and the expected range
Result<Settings> ReadSettings(TomlReader reader);

}  // namespace jaymast
