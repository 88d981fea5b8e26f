#pragma once

#include "core/upstream_protocol.h"
#include "net/http_client.h"

namespace jaymast {

/// HTTP request for a request to a runner.
HttpRequest RunnerHttpRequest(const UpstreamRequest& request);

/// What a result of the HTTP client says about a request to a runner.
UpstreamReply UpstreamReplyOf(const HttpResult& result);

}  // namespace jaymast
