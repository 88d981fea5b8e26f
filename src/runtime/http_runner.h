#pragma once

#include "core/upstream_protocol.h"
#include "net/http_client.h"

namespace jaymast {

/// Encodes a request to a runner as an HTTP request.
HttpRequest RunnerHttpRequest(const UpstreamRequest& request);

/// Converts a result of the HTTP client to the reply of a runner. The status is kNotSent only if the runner cannot have
/// executed the request.
UpstreamReply UpstreamReplyOf(const HttpResult& result);

}  // namespace jaymast
