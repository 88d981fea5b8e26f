// Requests of callers and operators: authentication, admission and dispatch to the components.
#include <fmt/format.h>

#include <chrono>
#include <utility>

#include "base/http_status.h"
#include "core/entry_node.h"
#include "core/views.h"

namespace jaymast {
namespace {

/// Response deadline of a plan or confirmation whose write stays unresolved.
constexpr Duration kOperatorTimeout = std::chrono::seconds(10);

int StatusOf(ErrorId id) {
  switch (id) {
    case ErrorId::kTeamMismatch:
      return kStatusForbidden;
    case ErrorId::kDemandImpossible:
    case ErrorId::kTeamUnknown:
      return kStatusUnprocessable;
    default:
      return kStatusBadRequest;
  }
}

}  // namespace

struct RequestVisitor {
  EntryNode& node;
  RequestId id;

  template <typename T>
  void operator()(const T& request) const {
    node.Serve(id, request);
  }
};

void EntryNode::OnRequest(RequestId id, const Request& request) {
  m_effects.Open(id);
  if (!m_config.IsLoaded() || IsStopped()) {
    // The key cannot be checked without a configuration, so the event has no team.
    Event event;
    event.kind = EventKind::kRequestReceived;
    event.request = id;
    m_effects.Emit(event);
    return Reject(id, kStatusUnavailable, Error{ErrorId::kNotServing, "", "this entry does not serve yet"});
  }
  std::visit(RequestVisitor{*this, id}, request);
}

void EntryNode::Reject(RequestId id, int status, Error error) {
  Response response;
  response.status = status;
  response.verdict = Verdict::kNotRun;
  response.error = std::move(error);
  m_effects.Reply(id, response);
}

std::optional<Principal> EntryNode::Authenticate(RequestId id, const std::string& secret, Role role) {
  const Result<Principal> principal = m_config.Authenticate(secret);
  Event event;
  event.request = id;
  event.config_version = m_config.config().version;
  event.kind = EventKind::kRequestReceived;
  if (!principal) {
    m_effects.Emit(event);
    event.kind = EventKind::kKeyRefused;
    event.detail = std::string(ToString(principal.error().id));
    m_effects.Emit(event);
    Reject(id, kStatusUnauthorized, principal.error());
    return std::nullopt;
  }
  event.team = principal->team;
  event.detail = principal->key.value();
  m_effects.Emit(event);
  if (role == Role::kOperator && principal->role != Role::kOperator) {
    Reject(id, kStatusForbidden, Error{ErrorId::kKeyRole, "Authorization", "an operator's key is needed"});
    return std::nullopt;
  }
  return *principal;
}

std::optional<Error> EntryNode::AdmitSpec(const Principal& principal, TaskSpec& spec) const {
  if (spec.team.empty()) spec.team = principal.team;
  if (spec.team != principal.team) {
    return Error{ErrorId::kTeamMismatch, "/team", "the key belongs to another team"};
  }
  if (!m_config.config().teams.contains(spec.team)) {
    return Error{ErrorId::kTeamUnknown, "/team", "no team named '" + spec.team.value() + "'"};
  }
  return CheckDemand(spec.demand, spec.domain, m_instances);
}

void EntryNode::Serve(RequestId id, const PreviewRequest& request) {
  const std::optional<Principal> principal = Authenticate(id, request.secret, Role::kSubmitter);
  if (!principal) return;
  TaskSpec spec = request.spec;
  spec.work_class = WorkClass::kPreview;
  if (spec.semantics != Semantics::kIdempotent) {
    return Reject(id, kStatusBadRequest, Error{ErrorId::kInputField, "/semantics", "a preview must be idempotent"});
  }
  if (const std::optional<Error> error = AdmitSpec(*principal, spec)) return Reject(id, StatusOf(error->id), *error);
  if (!IsServing()) {
    return Reject(id, kStatusUnavailable, Error{ErrorId::kNotServing, "", "this entry is not accepting new work"});
  }
  if (m_previews.open() >= static_cast<std::size_t>(m_context.settings.max_open_requests)) {
    return Reject(id, kStatusUnavailable,
                  Error{ErrorId::kQueueFull, "", "this entry has the maximum number of open previews"});
  }
  spec.id = TaskId(fmt::format("{}-v{}", m_context.self.value(), m_next_preview++));
  m_previews.Submit(id, std::move(spec), request.deadline);
}

void EntryNode::Serve(RequestId id, const SubmitRequest& request) {
  const std::optional<Principal> principal = Authenticate(id, request.secret, Role::kSubmitter);
  if (!principal) return;
  std::vector<TaskSpec> specs = request.specs;
  if (specs.empty()) {
    return Reject(id, kStatusBadRequest, Error{ErrorId::kInputField, "/tasks", "expected at least one task"});
  }
  for (std::size_t i = 0; i < specs.size(); ++i) {
    std::optional<Error> error = AdmitSpec(*principal, specs[i]);
    if (specs[i].work_class == WorkClass::kPreview) {
      error = Error{ErrorId::kInputField, "/class", "previews must be sent to /v1/previews"};
    }
    if (!error) continue;
    error->path = fmt::format("/tasks/{}{}", i, error->path);
    return Reject(id, StatusOf(error->id), *error);
  }
  m_tasks.Submit(id, std::move(specs), request.wait_until);
}

void EntryNode::Serve(RequestId id, const TaskStatusRequest& request) {
  const std::optional<Principal> principal = Authenticate(id, request.secret, Role::kSubmitter);
  if (!principal) return;
  // With an empty team, the query finds tasks of all teams.
  const TeamId team = principal->role == Role::kOperator ? TeamId() : principal->team;
  m_tasks.Query(id, team, request.task, false, request.wait_until);
}

void EntryNode::Serve(RequestId id, const CancelRequest& request) {
  const std::optional<Principal> principal = Authenticate(id, request.secret, Role::kSubmitter);
  if (!principal) return;
  const TeamId team = principal->role == Role::kOperator ? TeamId() : principal->team;
  m_tasks.Query(id, team, request.task, true, m_context.Now());
}

void EntryNode::ScheduleOperatorTimeout(RequestId id) {
  m_context.After(kOperatorTimeout, [this, id] {
    Response response;
    response.status = kStatusGatewayTimeout;
    response.verdict = Verdict::kMayHaveRun;
    response.error = Error{ErrorId::kOutcomeUnknown, "",
                           "the table service has not confirmed the change; check the configuration version"};
    m_effects.Reply(id, response);
  });
}

void EntryNode::Serve(RequestId id, const PlanRequest& request) {
  if (!Authenticate(id, request.secret, Role::kOperator)) return;
  ScheduleOperatorTimeout(id);
  if (!IsServing()) {
    return Reject(id, kStatusUnavailable, Error{ErrorId::kNotServing, "", "this entry is not accepting new work"});
  }
  m_plan_service.Plan(id, request.intents);
}

void EntryNode::Serve(RequestId id, const ConfirmRequest& request) {
  if (!Authenticate(id, request.secret, Role::kOperator)) return;
  ScheduleOperatorTimeout(id);
  if (!IsServing()) {
    return Reject(id, kStatusUnavailable, Error{ErrorId::kNotServing, "", "this entry is not accepting new work"});
  }
  m_plan_service.Confirm(id, request.plan, request.base_version);
}

void EntryNode::Serve(RequestId id, const ViewRequest& request) {
  if (!Authenticate(id, request.secret, Role::kOperator)) return;
  Response response;
  response.status = kStatusOk;
  response.verdict = Verdict::kRan;
  response.body = RenderView(*this, request.view, request.task);
  m_effects.Reply(id, response);
}

}  // namespace jaymast
