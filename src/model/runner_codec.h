#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "core/upstream_protocol.h"
#include "model/http_call.h"

namespace jaymast {

/// Encodes a request to a runner as an HTTP call.
HttpCall EncodeUpstreamRequest(const UpstreamRequest& request);

/// Decodes an HTTP call to a runner.
/// @return the request, or jaymast.route.unknown, or an input error with the path of the offending field
Result<UpstreamRequest> DecodeUpstreamRequest(const HttpCall& call);

/// Returns the HTTP status of a reply: 409 when the runner refused the request, else 200.
int HttpStatusOf(const UpstreamReply& reply);

std::string EncodeUpstreamReply(const UpstreamReply& reply);
Result<UpstreamReply> DecodeUpstreamReply(std::string_view body);

}  // namespace jaymast
