#include "runtime/http_runner.h"

#include <fmt/format.h>

#include <string>
#include <utility>

#include "base/http_status.h"
#include "base/verdict.h"
#include "model/runner_codec.h"

namespace jaymast {
namespace {

UpstreamReply FailedReply(CallStatus status, std::string reason) {
  UpstreamReply reply;
  reply.status = status;
  reply.reason = std::move(reason);
  return reply;
}

}  // namespace

HttpRequest RunnerHttpRequest(const UpstreamRequest& request) {
  HttpCall call = EncodeUpstreamRequest(request);
  return HttpRequest{std::move(call.method), std::move(call.target), {}, std::move(call.body)};
}

UpstreamReply UpstreamReplyOf(const HttpResult& result) {
  if (result.status == SendStatus::kNotSent) return FailedReply(CallStatus::kNotSent, result.reason);
  if (result.status == SendStatus::kUnknown) return FailedReply(CallStatus::kUnknown, result.reason);
  const HttpResponse& response = result.response;
  if (response.status != kStatusOk && response.status != kStatusConflict) {
    // The verdict of an error response says whether the HTTP server may have passed the request to the runner.
    const bool is_not_run = FindHeader(response.headers, "Jaymast-Verdict") == ToString(Verdict::kNotRun);
    const std::string reason = fmt::format("HTTP status {}", response.status);
    return FailedReply(is_not_run ? CallStatus::kNotSent : CallStatus::kUnknown, reason);
  }
  Result<UpstreamReply> reply = DecodeUpstreamReply(response.body);
  if (reply) return std::move(*reply);
  return FailedReply(CallStatus::kUnknown, reply.error().path + ": " + reply.error().reason);
}

}  // namespace jaymast
