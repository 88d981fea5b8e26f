#include "routing/preview_gateway.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/http_status.h"
#include "configuration/config_store.h"
#include "routing/router.h"
#include "upstream/executor.h"

namespace jaymast {
namespace {

constexpr Duration kFirstBackoff = std::chrono::milliseconds(5);
/// A hedged attempt is sent to another owner after the remaining time divided by this, but at most after kMaxHedgeWait.
constexpr std::int64_t kHedgeDivisor = 4;
constexpr Duration kMaxHedgeWait = std::chrono::milliseconds(400);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(100);

}  // namespace

PreviewGateway::PreviewGateway(Context& context, const ConfigStore& config, Router& router, Executor& executor)
    : m_context(context), m_config(config), m_router(router), m_executor(executor), m_budget(context.Now()) {}

void PreviewGateway::Submit(RequestId request, TaskSpec spec, Time deadline) {
  const std::uint64_t call = m_next_call++;
  Preview& preview = m_open[call];
  preview.request = request;
  preview.spec = std::move(spec);
  preview.deadline = deadline;
  m_budget.OnRequest();
  m_context.timers.At(deadline, [this, call] { OnDeadline(call); });
  Attempt(call);
}

void PreviewGateway::Attempt(std::uint64_t call) {
  const auto found = m_open.find(call);
  if (found == m_open.end()) return;
  Preview& preview = found->second;
  const std::optional<EntryId> owner = m_router.ChooseForPreview(preview.spec, preview.tried);
  if (!owner) {
    ++preview.attempt;
    preview.last_error = Error{ErrorId::kNoCapacity, "", "no entry serves upstreams for this task"};
    return Retry(call);
  }
  preview.tried.insert(*owner);
  ++preview.attempt;
  preview.open_attempts.insert(preview.attempt);
  RunRequest request;
  request.call = call;
  request.spec = preview.spec;
  request.attempt = preview.attempt;
  request.remaining_ms = ToMillis(preview.deadline - m_context.Now());
  request.config_version = m_config.config().version;
  if (*owner != m_context.self) {
    const Duration wait = std::min((preview.deadline - m_context.Now()) / kHedgeDivisor, kMaxHedgeWait);
    m_router.AddPendingDemand(*owner, preview.spec.demand);
    m_context.After(wait, [this, call, attempt = preview.attempt] { Hedge(call, attempt); });
    return m_context.effects.SendPeer(*owner, request);
  }
  m_executor.Run(request, m_context.self, [this](const RunReply& reply) { OnRunReply(reply); });
}

void PreviewGateway::OnRunReply(const RunReply& reply) {
  const auto found = m_open.find(reply.call);
  if (found == m_open.end()) return;
  Preview& preview = found->second;
  const bool is_open = reply.id.task == preview.spec.id && preview.open_attempts.erase(reply.id.attempt) > 0;
  if (!is_open) return;
  preview.last_error = Error{reply.error, "", reply.reason};
  if (reply.verdict != Verdict::kRan) {
    preview.may_have_run = preview.may_have_run || reply.verdict == Verdict::kMayHaveRun;
    return Retry(reply.call);
  }
  Response response;
  response.verdict = Verdict::kRan;
  response.body = reply.output;
  response.raw = true;
  response.status = kStatusOk;
  if (reply.error != ErrorId::kNone) {
    response.status = kStatusBadGateway;
    response.error = Error{reply.error, "", reply.output};
    response.raw = false;
  }
  Respond(reply.call, response);
}

void PreviewGateway::Hedge(std::uint64_t call, std::int64_t attempt) {
  const auto found = m_open.find(call);
  if (found == m_open.end() || !found->second.open_attempts.contains(attempt)) return;
  // The owner may have crashed or paused. Previews are idempotent, so a second attempt is safe.
  if (m_budget.TryRetry(m_context.Now())) Attempt(call);
}

void PreviewGateway::Retry(std::uint64_t call) {
  const Preview& preview = m_open.at(call);
  const Time now = m_context.Now();
  const auto doublings = std::min<std::int64_t>(preview.attempt, 5);
  const Duration backoff = m_context.Jittered(std::min(kFirstBackoff * (1 << doublings), kMaxBackoff));
  if (now + backoff >= preview.deadline) return;  // The deadline timer responds.
  if (!m_budget.TryRetry(now)) {
    // Another attempt may still succeed.
    if (preview.open_attempts.empty()) Fail(call, kStatusUnavailable, preview.last_error);
    return;
  }
  Event event;
  event.kind = EventKind::kTaskRetried;
  event.task = preview.spec.id;
  event.attempt = preview.attempt;
  event.detail = std::string(ToString(preview.last_error.id));
  m_context.effects.Emit(event);
  m_context.After(backoff, [this, call] { Attempt(call); });
}

void PreviewGateway::OnDeadline(std::uint64_t call) {
  const auto found = m_open.find(call);
  if (found == m_open.end()) return;
  Preview& preview = found->second;
  preview.may_have_run = preview.may_have_run || !preview.open_attempts.empty();
  std::string reason = "the deadline passed";
  if (preview.last_error.id != ErrorId::kNone) reason += "; last attempt: " + preview.last_error.reason;
  Fail(call, kStatusGatewayTimeout, Error{ErrorId::kDeadlineExceeded, "", std::move(reason)});
}

void PreviewGateway::Fail(std::uint64_t call, int status, Error error) {
  Response response;
  response.status = status;
  response.verdict = m_open.at(call).may_have_run ? Verdict::kMayHaveRun : Verdict::kNotRun;
  response.error = std::move(error);
  Respond(call, response);
}

void PreviewGateway::Respond(std::uint64_t call, const Response& response) {
  const auto found = m_open.find(call);
  const RequestId request = found->second.request;
  m_open.erase(found);
  m_context.effects.Reply(request, response);
}

void PreviewGateway::OnRequestGone(RequestId request) {
  std::erase_if(m_open, [request](const auto& item) { return item.second.request == request; });
}

void PreviewGateway::AbandonAll() {
  while (!m_open.empty()) {
    const std::uint64_t call = m_open.begin()->first;
    Preview& preview = m_open.begin()->second;
    preview.may_have_run = preview.may_have_run || !preview.open_attempts.empty();
    Fail(call, kStatusUnavailable, Error{ErrorId::kNotServing, "", "this entry lost its lease"});
  }
}

}  // namespace jaymast
