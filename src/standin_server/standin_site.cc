#include "standin_server/standin_site.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <chrono>
#include <optional>
#include <set>
#include <utility>

#include "base/field_reader.h"
#include "base/http_status.h"
#include "model/codec.h"
#include "net/problem.h"
#include "standin_server/standin_settings.h"

namespace jaymast {
namespace {

namespace json = boost::json;

constexpr std::int64_t kMaxDelayMs = 600'000;
constexpr std::int64_t kMaxSlowFactor = 1000;
constexpr std::size_t kMaxNameBytes = 128;

/// Changes from one request, checked before any of them is applied.
struct FaultChanges {
  std::optional<TableFaults> table;
  RunnerServer* runner = nullptr;
  RunnerFaults runner_faults;
  std::optional<std::set<UpstreamId>> leaving;
};

TableFaults ReadTableFaults(FieldReader& reader, TableFaults faults) {
  faults.outage = reader.Bool("outage", faults.outage);
  faults.lose_answers = reader.Bool("lose_answers", faults.lose_answers);
  faults.latency = std::chrono::milliseconds(reader.Int("latency_ms", ToMillis(faults.latency), 0, kMaxDelayMs));
  return faults;
}

RunnerFaults ReadRunnerFaults(FieldReader& reader, RunnerFaults faults) {
  const auto slow = static_cast<std::int64_t>(faults.slow);
  faults.fail = reader.Bool("fail", faults.fail);
  faults.hang = reader.Bool("hang", faults.hang);
  faults.slow = static_cast<double>(reader.Int("slow", slow, 1, kMaxSlowFactor));
  faults.usage_lag = std::chrono::milliseconds(reader.Int("usage_lag_ms", ToMillis(faults.usage_lag), 0, kMaxDelayMs));
  return faults;
}

std::set<UpstreamId> ReadLeaving(FieldReader& reader, const json::array& array) {
  std::set<UpstreamId> leaving;
  for (const json::value& value : array) {
    if (!value.is_string()) {
      reader.Fail("leaving", "expected an array of strings");
      return {};
    }
    leaving.insert(UpstreamId(std::string_view(value.get_string())));
  }
  return leaving;
}

}  // namespace

Result<std::unique_ptr<StandinSite>> StandinSite::Start(IoPool& pool, const StandinSettings& settings,
                                                        const RunnerState::EventCallback& emit) {
  std::unique_ptr<StandinSite> site(new StandinSite());
  for (const StandinRunner& runner : settings.runners) {
    auto server = RunnerServer::Listen(pool, site->m_runners.size(), runner.info.address, runner.settings, emit);
    if (!server) return server.error();
    site->m_runners.push_back(std::move(*server));
  }
  if (settings.platform) {
    StandinPlatformSettings platform = *settings.platform;
    for (const StandinRunner& runner : settings.runners) {
      if (!runner.listed) continue;
      UpstreamInfo info = runner.info;
      info.address = site->FindRunner(info.id)->address();
      platform.instances.upstreams.push_back(std::move(info));
    }
    auto server = PlatformServer::Listen(pool, platform);
    if (!server) return server.error();
    site->m_platform = std::move(*server);
  }
  if (settings.control.empty()) return site;
  HttpServerOptions options;
  options.address = settings.control;
  auto control = HttpServer::Listen(pool, options,
                                    [target = site.get()](const HttpRequest& request, const HttpResponder& responder) {
                                      target->OnControl(request, responder);
                                    });
  if (!control) return control.error();
  site->m_control = std::move(*control);
  return site;
}

StandinSite::~StandinSite() = default;

std::string StandinSite::Describe() const {
  std::string text;
  if (m_platform) text += fmt::format("platform {}\n", m_platform->address());
  for (const auto& runner : m_runners) text += fmt::format("runner {} {}\n", runner->id().value(), runner->address());
  if (m_control) text += fmt::format("control {}\n", m_control->address());
  return text;
}

void StandinSite::OnControl(const HttpRequest& request, const HttpResponder& responder) {
  if (request.method != "POST" || request.target != "/v1/faults") {
    const Error error{ErrorId::kRouteUnknown, request.target, "expected POST /v1/faults"};
    return responder.Respond(ProblemResponse(kStatusNotFound, error, Verdict::kNotRun));
  }
  const Result<bool> applied = ApplyFaults(request.body);
  if (!applied) return responder.Respond(ProblemResponse(kStatusBadRequest, applied.error(), Verdict::kNotRun));
  responder.Respond(HttpResponse{200, {{"Content-Type", "application/json"}}, "{}"});
}

RunnerServer* StandinSite::FindRunner(const UpstreamId& id) const {
  for (const auto& runner : m_runners) {
    if (runner->id() == id) return runner.get();
  }
  return nullptr;
}

Result<bool> StandinSite::ApplyFaults(const std::string& body) {
  const Result<json::object> object = ParseObject(body, "");
  if (!object) return object.error();
  FieldReader reader(*object, "");
  FaultChanges changes;
  if (const json::object* table = reader.Object("table")) {
    if (!m_platform) return Error{ErrorId::kInputField, "/table", "this process serves no platform"};
    FieldReader fields(*table, "/table");
    changes.table = ReadTableFaults(fields, m_platform->faults());
    fields.RejectUnknown();
    if (fields.error()) return *fields.error();
  }
  if (const json::object* runner = reader.Object("runner")) {
    FieldReader fields(*runner, "/runner");
    changes.runner = FindRunner(UpstreamId(fields.RequiredString("id", kMaxNameBytes)));
    if (changes.runner == nullptr) return Error{ErrorId::kInputField, "/runner/id", "unknown runner"};
    changes.runner_faults = ReadRunnerFaults(fields, changes.runner->faults());
    fields.RejectUnknown();
    if (fields.error()) return *fields.error();
  }
  if (const json::array* leaving = reader.Array("leaving")) {
    if (!m_platform) return Error{ErrorId::kInputField, "/leaving", "this process serves no platform"};
    changes.leaving = ReadLeaving(reader, *leaving);
  }
  reader.RejectUnknown();
  if (reader.error()) return *reader.error();
  if (changes.leaving) {
    const Result<bool> set = m_platform->SetLeaving(*changes.leaving);
    if (!set) return set.error();
  }
  if (changes.table) m_platform->SetFaults(*changes.table);
  if (changes.runner != nullptr) changes.runner->SetFaults(changes.runner_faults);
  return true;
}

bool StandinSite::Shutdown(std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  const auto left = [deadline] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
  };
  if (m_control) m_control->BeginShutdown();
  for (const auto& runner : m_runners) runner->BeginShutdown();
  if (m_platform) m_platform->BeginShutdown();
  bool closed = !m_control || m_control->WaitForShutdown(left());
  for (const auto& runner : m_runners) closed = runner->WaitForShutdown(left()) && closed;
  if (m_platform) closed = m_platform->WaitForShutdown(left()) && closed;
  return closed;
}

}  // namespace jaymast
