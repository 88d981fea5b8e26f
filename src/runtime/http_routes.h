#pragma once

#include <chrono>

#include "base/result.h"
#include "base/time.h"
#include "core/request.h"
#include "net/http_message.h"

namespace jaymast {

/// Converts the HTTP request of a client or operator to a request of the decision core.
/// @param now time of arrival, to which the deadlines in the request are relative
/// @param preview_deadline time limit of a preview without the header Jaymast-Deadline-Ms
/// @return the request, or an error for a response with the status HttpStatusOf(error)
Result<Request> RequestFromHttp(const HttpRequest& http, Time now, std::chrono::milliseconds preview_deadline);

/// HTTP status of an error of RequestFromHttp.
int HttpStatusOf(const Error& error);

HttpResponse ResponseToHttp(Response response);

/// Bearer token of the header Authorization, empty if there is none.
std::string BearerSecret(const HttpRequest& http);

/// Reads a non-negative integer parameter from the query of a target.
/// @return the number, the fallback if the parameter is absent, or an error if it is not an integer from 0 to max
Result<std::int64_t> QueryInt(std::string_view target, std::string_view name, std::int64_t fallback, std::int64_t max);

}  // namespace jaymast
