#include "runtime/request_gate.h"

#include <chrono>
#include <string>
#include <utility>

#include "base/http_status.h"
#include "net/problem.h"
#include "runtime/control_loop.h"
#include "runtime/core_driver.h"
#include "runtime/event_log.h"
#include "runtime/http_routes.h"
#include "runtime/metrics.h"

namespace jaymast {
namespace {

constexpr std::string_view kEventsPath = "/v1/events";

bool IsEventsRequest(const HttpRequest& http) {
  const std::string_view target = http.target;
  return http.method == "GET" && target.substr(0, target.find('?')) == kEventsPath;
}

}  // namespace

RequestGate::RequestGate(const ProcessClock& clock, ControlLoop& control, EventLog& events, Metrics& metrics,
                         Options options)
    : m_clock(clock), m_control(control), m_events(events), m_metrics(metrics), m_options(options) {}

void RequestGate::Handle(const HttpRequest& http, const HttpResponder& responder) {
  if (IsEventsRequest(http)) return HandleEvents(http, responder);
  Result<Request> request = RequestFromHttp(http, m_clock.Now(), m_options.preview_deadline);
  if (!request) {
    m_metrics.CountResponse(Verdict::kNotRun);
    return responder.Respond(ProblemResponse(HttpStatusOf(request.error()), request.error(), Verdict::kNotRun));
  }
  Submit(std::move(*request), responder, ResponseToHttp);
}

void RequestGate::HandleEvents(const HttpRequest& http, const HttpResponder& responder) {
  constexpr std::int64_t kAbsent = -1;
  const Result<std::int64_t> number = QueryInt(http.target, "since", kAbsent, INT64_MAX);
  if (!number) {
    return responder.Respond(ProblemResponse(HttpStatusOf(number.error()), number.error(), Verdict::kNotRun));
  }
  std::optional<std::uint64_t> since;
  if (*number != kAbsent) since = static_cast<std::uint64_t>(*number);
  // Only the core can check API keys, so a status request authorizes the caller. If the core refuses it, its error is
  // the response to this request.
  Submit(ViewRequest{BearerSecret(http), View::kStatus, TaskId()}, responder, [this, since](Response response) {
    if (response.status != kStatusOk) return ResponseToHttp(std::move(response));
    EventLog::Page page = m_events.Read(since);
    HttpResponse events;
    events.headers.emplace_back("Content-Type", "application/x-ndjson");
    events.headers.emplace_back("Jaymast-Next-Event", std::to_string(page.next));
    events.body = std::move(page.lines);
    return events;
  });
}

void RequestGate::Submit(Request request, const HttpResponder& responder, Convert convert) {
  if (++m_open_count > m_options.max_open_requests) {
    --m_open_count;
    m_metrics.CountResponse(Verdict::kNotRun);
    const Error error{ErrorId::kQueueFull, "request", "too many open requests"};
    return responder.Respond(ProblemResponse(kStatusUnavailable, error, Verdict::kNotRun));
  }
  const RequestId id = ++m_last_id;
  OpenRequest open{responder, std::move(convert), std::nullopt};
  if (std::holds_alternative<PreviewRequest>(request)) open.preview_begin = m_clock.Now();
  responder.OnGone([this, id] { m_control.Post([this, id] { OnGone(id); }); });
  m_control.Post([this, id, request = std::move(request), open = std::move(open)] { Begin(id, request, open); });
}

void RequestGate::Begin(RequestId id, const Request& request, OpenRequest open) {
  m_open_requests.emplace(id, std::move(open));
  const Time begin = m_clock.Now();
  m_core->OnRequest(id, request);
  m_metrics.Observe(Timing::kDecision, m_clock.Now() - begin);
}

void RequestGate::Reply(RequestId id, const Response& response) {
  const auto it = m_open_requests.find(id);
  if (it == m_open_requests.end()) return;
  const OpenRequest open = std::move(it->second);
  m_open_requests.erase(it);
  --m_open_count;
  m_metrics.CountResponse(response.verdict);
  if (open.preview_begin) m_metrics.Observe(Timing::kPreview, m_clock.Now() - *open.preview_begin);
  open.responder.Respond(open.convert(response));
}

void RequestGate::OnGone(RequestId id) {
  if (m_open_requests.erase(id) == 0) return;
  --m_open_count;
  m_core->OnRequestGone(id);
}

}  // namespace jaymast
