#include "standin_server/runner_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <unordered_map>
#include <variant>

#include "base/http_status.h"
#include "model/runner_codec.h"
#include "net/io_pool.h"
#include "net/problem.h"
#include "standin_server/standin_clock.h"

namespace jaymast {
namespace {

/// Requests kept during a hang. Later ones are never answered, as by a full accept queue.
constexpr std::size_t kMaxHeldRequests = 1000;

HttpResponse ReplyResponse(const UpstreamReply& reply) {
  return HttpResponse{HttpStatusOf(reply), {{"Content-Type", "application/json"}}, EncodeUpstreamReply(reply)};
}

}  // namespace

/// State behind the port. Handlers and the timer keep it alive.
struct RunnerServer::Shared : public std::enable_shared_from_this<RunnerServer::Shared> {
  Shared(boost::asio::io_context& context, RunnerSettings settings, RunnerState::EventCallback emit)
      : m_state(std::move(settings), std::move(emit)), m_timer(context) {}

  void OnRequest(HttpRequest request, HttpResponder responder) {
    const std::lock_guard lock(m_mutex);
    if (m_state.faults().hang) {
      if (m_held.size() < kMaxHeldRequests) m_held.emplace_back(std::move(request), std::move(responder));
      return;
    }
    Handle(std::move(request), responder);
    Settle();
  }

  void SetFaults(const RunnerFaults& faults) {
    const std::lock_guard lock(m_mutex);
    m_state.SetFaults(faults);
    if (!faults.hang) {
      for (auto& [request, responder] : std::exchange(m_held, {})) Handle(std::move(request), responder);
    }
    Settle();
  }

  void Handle(HttpRequest request, const HttpResponder& responder) {
    const HttpCall call{std::move(request.method), std::move(request.target), std::move(request.body)};
    const Result<UpstreamRequest> decoded = DecodeUpstreamRequest(call);
    if (!decoded) {
      const int status = decoded.error().id == ErrorId::kRouteUnknown ? kStatusNotFound : kStatusBadRequest;
      responder.Respond(ProblemResponse(status, decoded.error(), Verdict::kNotRun));
      return;
    }
    const auto* run = std::get_if<RunTaskRequest>(&*decoded);
    if (run == nullptr) return responder.Respond(ReplyResponse(m_state.Handle(*decoded, StandinClock().Now())));
    const auto started = m_state.StartRun(*run, StandinClock().Now());
    if (const auto* reply = std::get_if<UpstreamReply>(&started)) return responder.Respond(ReplyResponse(*reply));
    m_waiting.emplace(std::get<RunnerState::RunToken>(started), responder);
  }

  /// Answers the run calls that are due and sets the timer for the next one. Needs the lock.
  void Settle() {
    for (const RunnerState::RunCompletion& done : m_state.Advance(StandinClock().Now())) {
      const auto waiting = m_waiting.find(done.token);
      if (waiting == m_waiting.end()) continue;
      waiting->second.Respond(ReplyResponse(done.reply));
      m_waiting.erase(waiting);
    }
    SetTimer(m_state.NextDeadline());
  }

  void SetTimer(std::optional<Time> deadline) {
    if (deadline == m_timer_at) return;
    m_timer_at = deadline;
    m_timer.cancel();
    if (!deadline) return;
    m_timer.expires_at(StandinClock().ToSteady(*deadline));
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
      if (ec) return;
      const std::lock_guard lock(self->m_mutex);
      self->m_timer_at = std::nullopt;
      self->Settle();
    });
  }

  mutable std::mutex m_mutex;
  RunnerState m_state;
  boost::asio::steady_timer m_timer;
  std::optional<Time> m_timer_at;
  std::unordered_map<RunnerState::RunToken, HttpResponder> m_waiting;
  std::vector<std::pair<HttpRequest, HttpResponder>> m_held;
};

Result<std::unique_ptr<RunnerServer>> RunnerServer::Listen(IoPool& pool, std::size_t index, const std::string& address,
                                                           RunnerSettings settings, RunnerState::EventCallback emit) {
  auto shared = std::make_shared<Shared>(pool.Context(index), std::move(settings), std::move(emit));
  HttpServerOptions options;
  options.address = address;
  auto server = HttpServer::Listen(pool, options, [shared](HttpRequest request, HttpResponder responder) {
    shared->OnRequest(std::move(request), std::move(responder));
  });
  if (!server) return server.error();
  return std::unique_ptr<RunnerServer>(new RunnerServer(std::move(shared), std::move(*server)));
}

RunnerServer::RunnerServer(std::shared_ptr<Shared> shared, std::unique_ptr<HttpServer> server)
    : m_shared(std::move(shared)), m_server(std::move(server)) {}

RunnerServer::~RunnerServer() = default;

const UpstreamId& RunnerServer::id() const { return m_shared->m_state.settings().upstream; }

std::string RunnerServer::address() const { return m_server->address(); }

RunnerFaults RunnerServer::faults() const {
  const std::lock_guard lock(m_shared->m_mutex);
  return m_shared->m_state.faults();
}

void RunnerServer::SetFaults(const RunnerFaults& faults) { m_shared->SetFaults(faults); }

void RunnerServer::BeginShutdown() { m_server->BeginShutdown(); }

bool RunnerServer::WaitForShutdown(std::chrono::milliseconds timeout) { return m_server->WaitForShutdown(timeout); }

}  // namespace jaymast
