#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "core/request.h"
#include "net/http_responder.h"
#include "runtime/process_clock.h"

namespace jaymast {

class ControlLoop;
class CoreDriver;
class EventLog;
class Metrics;

/// Passes the requests of callers and operators to the decision core, and its responses back.
class RequestGate {
 public:
  struct Options {
    std::int64_t max_open_requests = 0;  ///< requests beyond it are refused as not run
    std::chrono::milliseconds preview_deadline{0};
  };

  RequestGate(const ProcessClock& clock, ControlLoop& control, EventLog& events, Metrics& metrics, Options options);

  /// Names the core. Must be called before the first request is handled.
  void SetCore(CoreDriver* core) { m_core = core; }

  /// Takes a request. May be called from any thread.
  void Handle(const HttpRequest& http, const HttpResponder& responder);

  /// Answers a request. Called on the control thread. Ignored when the caller is gone.
  void Reply(RequestId id, const Response& response);

  std::int64_t open() const { return m_open_count; }

 private:
  using Convert = std::function<HttpResponse(Response)>;

  /// A request that the core has not answered yet.
  struct OpenRequest {
    HttpResponder responder;
    Convert convert;
    std::optional<Time> preview_begin;  ///< arrival of a preview
  };

  void HandleEvents(const HttpRequest& http, const HttpResponder& responder);
  void Submit(Request request, const HttpResponder& responder, Convert convert);
  void Begin(RequestId id, const Request& request, OpenRequest open);
  void OnGone(RequestId id);

  const ProcessClock& m_clock;
  ControlLoop& m_control;
  EventLog& m_events;
  Metrics& m_metrics;
  const Options m_options;
  CoreDriver* m_core = nullptr;
  std::atomic<RequestId> m_last_id = 0;
  std::atomic<std::int64_t> m_open_count = 0;
  std::map<RequestId, OpenRequest> m_open_requests;  ///< used by the control thread only
};

}  // namespace jaymast
