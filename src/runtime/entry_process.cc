#include "runtime/entry_process.h"

#include <glog/logging.h>

#include <optional>
#include <utility>

#include "base/http_status.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/io_pool.h"
#include "net/peer_links.h"
#include "runtime/control_loop.h"
#include "runtime/core_driver.h"
#include "runtime/event_log.h"
#include "runtime/http_table.h"
#include "runtime/instance_poller.h"
#include "runtime/metrics.h"
#include "runtime/process_clock.h"
#include "runtime/process_effects.h"
#include "runtime/request_gate.h"

namespace jaymast {
namespace {

/// Tasks in the control queue above which peer messages are dropped, as if lost by the network.
constexpr std::size_t kMaxControlQueue = 100'000;

/// Id announced to peers until the core has chosen its own. No entry has this id.
constexpr const char* kNoEntryId = "starting";

HttpResponse TextResponse(int status, std::string text) {
  return HttpResponse{status, {{"Content-Type", "text/plain; version=0.0.4"}}, std::move(text)};
}

void Reload(const std::shared_ptr<TlsContext>& tls) {
  if (tls == nullptr) return;
  const Result<bool> result = tls->Reload();
  if (result) return;
  LOG(ERROR) << "jaymast.tls.reload file=" << result.error().path << ": " << result.error().reason;
}

}  // namespace

/// Components of the process. They are destroyed in reverse order, after the threads have stopped.
struct EntryProcess::Parts {
  Parts(const Settings& settings, ControlLoop::Hooks hooks)
      : pool(settings.traffic_threads),
        events(settings.events),
        control(clock, std::move(hooks)),
        platform_client(pool, HttpClientOptions{}),
        upstream_client(pool, settings.upstream),
        table(platform_client, metrics, settings.platform.table, settings.platform.table_timeout),
        gate(clock, control, events, metrics, {settings.core.max_open_requests, settings.preview_deadline}) {}

  ProcessClock clock;
  IoPool pool;
  Metrics metrics;
  EventLog events;
  ControlLoop control;
  HttpClient platform_client;
  HttpClient upstream_client;
  HttpTable table;
  RequestGate gate;
  std::shared_ptr<TlsContext> http_tls;
  std::shared_ptr<TlsContext> peer_server_tls;
  std::shared_ptr<TlsContext> peer_client_tls;
  std::unique_ptr<PeerLinks> links;
  std::unique_ptr<ProcessEffects> effects;
  std::unique_ptr<CoreDriver> core;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<InstancePoller> poller;
};

EntryProcess::EntryProcess() = default;

Result<std::unique_ptr<EntryProcess>> EntryProcess::Start(Settings settings, const CoreFactory& make_core) {
  std::unique_ptr<EntryProcess> process(new EntryProcess());
  if (const auto error = process->Open(std::move(settings), make_core)) return *error;
  return process;
}

std::optional<Error> EntryProcess::Open(Settings settings, const CoreFactory& make_core) {
  ControlLoop::Hooks hooks{[this] { m_parts->core->OnTick(); }, [this] { return UpdateState(); }};
  m_parts = std::make_unique<Parts>(settings, std::move(hooks));
  Parts& parts = *m_parts;
  if (auto error = LoadTls(settings)) return error;

  auto links = PeerLinks::Listen(
      parts.pool, settings.peer, EntryId(kNoEntryId), [&parts](const EntryId& from, PeerMessage message) {
        if (parts.control.queued() > kMaxControlQueue) return;
        parts.control.Post([&parts, from, message = std::move(message)] { parts.core->OnPeer(from, message); });
      });
  if (!links) return links.error();
  parts.links = std::move(*links);
  if (settings.core.peer_address == settings.peer.address) settings.core.peer_address = parts.links->address();

  ProcessEffects::Parts effects{parts.clock,  parts.control, parts.upstream_client, parts.table,
                                *parts.links, parts.events,  parts.metrics};
  parts.effects = std::make_unique<ProcessEffects>(
      effects, settings.core.name,
      [&parts](RequestId id, const Response& response) { parts.gate.Reply(id, response); });
  parts.core = make_core(settings.core, *parts.effects);
  parts.gate.SetCore(parts.core.get());

  auto server = HttpServer::Listen(
      parts.pool, settings.http,
      [this](const HttpRequest& request, const HttpResponder& responder) { ServeHttp(request, responder); });
  if (!server) return server.error();
  parts.server = std::move(*server);

  parts.control.Post([&parts] { parts.core->Start(); });
  parts.control.Start();
  const PlatformSettings& platform = settings.platform;
  parts.poller = std::make_unique<InstancePoller>(
      parts.pool, parts.platform_client, platform.instances, platform.instances_timeout, platform.instances_interval,
      [&parts](const InstanceList& list) { parts.control.Post([&parts, list] { parts.core->OnInstances(list); }); });
  return std::nullopt;
}

std::optional<Error> EntryProcess::LoadTls(Settings& settings) {
  const auto load = [](const TlsFiles& files, std::shared_ptr<TlsContext>& target) -> std::optional<Error> {
    if (files.certificate.empty()) return std::nullopt;
    const auto context = TlsContext::Load(files);
    if (!context) return context.error();
    target = *context;
    return std::nullopt;
  };
  if (auto error = load(settings.http_tls, m_parts->http_tls)) return error;
  if (auto error = load(settings.peer_tls, m_parts->peer_server_tls)) return error;
  if (auto error = load(settings.peer_tls, m_parts->peer_client_tls)) return error;
  settings.http.tls = m_parts->http_tls;
  settings.peer.server_tls = m_parts->peer_server_tls;
  settings.peer.client_tls = m_parts->peer_client_tls;
  return std::nullopt;
}

EntryProcess::~EntryProcess() {
  if (m_parts == nullptr) return;
  m_parts->control.Stop();
  m_parts->pool.Stop();
}

std::string EntryProcess::http_address() const { return m_parts->server->address(); }

std::string EntryProcess::peer_address() const { return m_parts->links->address(); }

void EntryProcess::RequestStop() {
  m_parts->control.Post([this] { m_parts->core->OnStopRequested(); });
}

bool EntryProcess::WaitUntilStopped(std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  {
    std::unique_lock lock(m_mutex);
    if (!m_stopped.wait_until(lock, deadline, [this] { return m_is_stopped; })) return false;
  }
  m_parts->server->BeginShutdown();
  const auto left = deadline - std::chrono::steady_clock::now();
  return m_parts->server->WaitForShutdown(std::chrono::duration_cast<std::chrono::milliseconds>(left));
}

void EntryProcess::ReloadTls() {
  Reload(m_parts->http_tls);
  Reload(m_parts->peer_server_tls);
  Reload(m_parts->peer_client_tls);
}

void EntryProcess::ServeHttp(const HttpRequest& request, const HttpResponder& responder) {
  const bool is_get = request.method == "GET";
  if (is_get && request.target == "/healthz") return responder.Respond(TextResponse(kStatusOk, "ok\n"));
  if (is_get && request.target == "/metrics") return responder.Respond(TextResponse(kStatusOk, RenderMetrics()));
  if (is_get && request.target == "/readyz") {
    const bool is_ready = m_is_ready;
    return responder.Respond(
        TextResponse(is_ready ? kStatusOk : kStatusUnavailable, is_ready ? "ready\n" : "not ready\n"));
  }
  m_parts->gate.Handle(request, responder);
}

std::string EntryProcess::RenderMetrics() const {
  const Parts& parts = *m_parts;
  const PeerLinks::Counters links = parts.links->counters();
  Metrics::Samples samples;
  samples.gauges["jaymast_ready"] = m_is_ready ? 1 : 0;
  samples.gauges["jaymast_open_requests"] = static_cast<double>(parts.gate.open());
  samples.gauges["jaymast_http_connections"] = static_cast<double>(parts.server->open_connections());
  samples.gauges["jaymast_control_queue_tasks"] = static_cast<double>(parts.control.queued());
  samples.gauges["jaymast_event_queue_lines"] = static_cast<double>(parts.events.queued());
  samples.counters["jaymast_control_busy_seconds_total"] =
      std::chrono::duration<double>(parts.control.busy_time()).count();
  for (const auto& [name, value] : parts.server->LimitMetrics()) samples.gauges["jaymast_http_" + name] = value;
  samples.gauges["jaymast_upstream_reply_held_bytes"] = static_cast<double>(parts.upstream_client.held_bytes());
  samples.counters["jaymast_upstream_replies_evicted_total"] =
      static_cast<double>(parts.upstream_client.evicted_responses());
  samples.counters["jaymast_http_connections_refused_total"] = static_cast<double>(parts.server->refused_connections());
  samples.counters["jaymast_events_dropped_total"] = static_cast<double>(parts.events.dropped());
  samples.counters["jaymast_peer_frames_sent_total"] = static_cast<double>(links.sent);
  samples.counters["jaymast_peer_frames_received_total"] = static_cast<double>(links.received);
  samples.counters["jaymast_peer_frames_dropped_total"] = static_cast<double>(links.dropped);
  samples.counters["jaymast_peer_links_malformed_total"] = static_cast<double>(links.malformed);
  return parts.metrics.Render(samples);
}

std::optional<Time> EntryProcess::UpdateState() {
  const CoreDriver& core = *m_parts->core;
  m_is_ready = core.IsReady();
  if (core.id() != m_core_id) {
    m_core_id = core.id();
    m_parts->links->SetLocalId(m_core_id);
    LOG(INFO) << "jaymast.entry.id entry=" << m_core_id;
  }
  if (core.IsStopped()) {
    const std::lock_guard lock(m_mutex);
    m_is_stopped = true;
    m_stopped.notify_all();
  }
  return core.NextDeadline();
}

}  // namespace jaymast
