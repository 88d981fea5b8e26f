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

/// Passes requests of clients and operators to the decision core and sends its responses. Limits the open requests.
class RequestGate {
 public:
  struct Options {
    std::int64_t max_open_requests = 0;  ///< requests above the limit are refused with the verdict "not run"
    std::chrono::milliseconds preview_deadline{0};
  };

  RequestGate(const ProcessClock& clock, ControlLoop& control, EventLog& events, Metrics& metrics, Options options);

  /// Sets the core. Must be called before the first request is handled.
  void SetCore(CoreDriver* core) { m_core = core; }

  /// Handles a request. May be called on any thread.
  void Handle(const HttpRequest& http, const HttpResponder& responder);

  /// Sends the response to a request. Called on the control thread. Ignored if the client has disconnected.
  void Reply(RequestId id, const Response& response);

  std::int64_t open() const { return m_open_count; }

 private:
  using Convert = std::function<HttpResponse(Response)>;

  /// Request to which the core has not responded yet.
  struct OpenRequest {
    HttpResponder responder;
    Convert convert;
    std::optional<Time> preview_begin;  ///< time of arrival, set for previews only
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
