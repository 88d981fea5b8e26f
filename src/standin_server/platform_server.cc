#include "standin_server/platform_server.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "base/http_status.h"
#include "model/codec.h"
#include "model/path.h"
#include "net/io_pool.h"
#include "net/problem.h"
#include "standin/lagging_list.h"
#include "standin/object_store.h"
#include "standin/table_service.h"
#include "standin_server/standin_clock.h"

namespace jaymast {
namespace {

HttpResponse JsonResponse(int status, std::string body) {
  return HttpResponse{status, {{"Content-Type", "application/json"}}, std::move(body)};
}

HttpResponse NotFound(const std::string& target) {
  return ProblemResponse(kStatusNotFound, Error{ErrorId::kRouteUnknown, target, "no such route or object"},
                         Verdict::kNotRun);
}

bool IsObjectRoute(const std::vector<std::string>& path) {
  return path.size() == 3 && path[0] == "v1" && path[1] == "objects" && !path[2].empty();
}

}  // namespace

/// State behind the port. Handlers and timers keep it alive.
struct PlatformServer::Shared {
  Shared(IoPool& pool, const StandinPlatformSettings& settings)
      : m_pool(pool),
        m_table(settings.reads_per_second, settings.writes_per_second),
        m_objects(settings.max_object_bytes),
        m_list(settings.instances, settings.list_lag) {
    m_table.SetFaults(settings.faults);
  }

  void OnRequest(HttpRequest request, HttpResponder responder) {
    std::optional<HttpResponse> response;
    Time answer_at = StandinClock().Now();
    {
      const std::lock_guard lock(m_mutex);
      response = Handle(std::move(request), answer_at);
      answer_at += m_table.faults().latency;
    }
    if (response) RespondAt(answer_at, std::move(*response), std::move(responder));
  }

  /// @return the response, or nothing when a fault prevents it
  std::optional<HttpResponse> Handle(HttpRequest request, Time now) {
    const Result<std::vector<std::string>> path = SplitPath(request.target);
    if (!path) return NotFound(request.target);
    if (request.method == "GET" && *path == std::vector<std::string>{"v1", "instances"}) {
      return JsonResponse(kStatusOk, boost::json::serialize(ToJson(m_list.Visible(now))));
    }
    if (IsObjectRoute(*path)) return HandleObject(request, path->at(2));
    const HttpCall call{std::move(request.method), std::move(request.target), std::move(request.body)};
    std::optional<TableService::Answer> answer = m_table.Handle(call, now);
    if (!answer) return std::nullopt;
    return JsonResponse(answer->status, std::move(answer->body));
  }

  std::optional<HttpResponse> HandleObject(HttpRequest& request, const std::string& name) {
    if (m_table.faults().outage) return std::nullopt;
    HttpResponse response = ExecuteObject(request, name);
    if (m_table.faults().lose_answers) return std::nullopt;
    return response;
  }

  HttpResponse ExecuteObject(HttpRequest& request, const std::string& name) {
    if (request.method == "PUT") {
      const bool stored = m_objects.Put(name, std::move(request.body));
      return HttpResponse{stored ? kStatusNoContent : kStatusPayloadTooLarge, {}, ""};
    }
    if (request.method == "DELETE") {
      m_objects.Delete(name);
      return HttpResponse{kStatusNoContent, {}, ""};
    }
    std::optional<std::string> bytes = request.method == "GET" ? m_objects.Get(name) : std::nullopt;
    if (!bytes) return NotFound(request.target);
    return HttpResponse{kStatusOk, {{"Content-Type", "application/octet-stream"}}, std::move(*bytes)};
  }

  void RespondAt(Time time, HttpResponse response, HttpResponder responder) {
    if (time <= StandinClock().Now()) return responder.Respond(std::move(response));
    auto timer = std::make_shared<boost::asio::steady_timer>(m_pool.Context(0), StandinClock().ToSteady(time));
    timer->async_wait([timer, response = std::move(response), responder = std::move(responder)](auto) mutable {
      responder.Respond(std::move(response));
    });
  }

  IoPool& m_pool;
  mutable std::mutex m_mutex;
  TableService m_table;
  ObjectStore m_objects;
  LaggingList m_list;
};

Result<std::unique_ptr<PlatformServer>> PlatformServer::Listen(IoPool& pool, const StandinPlatformSettings& settings) {
  auto shared = std::make_shared<Shared>(pool, settings);
  HttpServerOptions options;
  options.address = settings.address;
  auto server = HttpServer::Listen(pool, options, [shared](HttpRequest request, HttpResponder responder) {
    shared->OnRequest(std::move(request), std::move(responder));
  });
  if (!server) return server.error();
  return std::unique_ptr<PlatformServer>(new PlatformServer(std::move(shared), std::move(*server)));
}

PlatformServer::PlatformServer(std::shared_ptr<Shared> shared, std::unique_ptr<HttpServer> server)
    : m_shared(std::move(shared)), m_server(std::move(server)) {}

PlatformServer::~PlatformServer() = default;

std::string PlatformServer::address() const { return m_server->address(); }

TableFaults PlatformServer::faults() const {
  const std::lock_guard lock(m_shared->m_mutex);
  return m_shared->m_table.faults();
}

void PlatformServer::SetFaults(const TableFaults& faults) {
  const std::lock_guard lock(m_shared->m_mutex);
  m_shared->m_table.SetFaults(faults);
}

Result<bool> PlatformServer::SetLeaving(const std::set<UpstreamId>& leaving) {
  const std::lock_guard lock(m_shared->m_mutex);
  const std::vector<UpstreamInfo>& upstreams = m_shared->m_list.latest().upstreams;
  for (const UpstreamId& id : leaving) {
    const bool known =
        std::any_of(upstreams.begin(), upstreams.end(), [&id](const auto& info) { return info.id == id; });
    if (!known) return Error{ErrorId::kInputField, "/leaving", "unknown instance '" + id.value() + "'"};
  }
  m_shared->m_list.SetLeaving(leaving, StandinClock().Now());
  return true;
}

void PlatformServer::BeginShutdown() { m_server->BeginShutdown(); }

bool PlatformServer::WaitForShutdown(std::chrono::milliseconds timeout) { return m_server->WaitForShutdown(timeout); }

}  // namespace jaymast
