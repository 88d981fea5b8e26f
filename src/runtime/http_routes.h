#pragma once

#include <chrono>

#include "base/result.h"
#include "base/time.h"
#include "core/request.h"
#include "net/http_message.h"

namespace jaymast {

/// Maps the HTTP request of a caller or operator to a request of the decision core.
/// @param now time of arrival, to which the deadlines in the request are relative
/// @param preview_deadline time limit of a preview without the header Jaymast-Deadline-Ms
/// @return the request, or an error that is answered with HttpStatusOf(error)
Result<Request> RequestFromHttp(const HttpRequest& http, Time now, std::chrono::milliseconds preview_deadline);

/// HTTP status of an error of RequestFromHttp.
int HttpStatusOf(const Error& error);

HttpResponse ResponseToHttp(Response response);

/// Secret of the header Authorization, empty when there is none.
std::string BearerSecret(const HttpRequest& http);

/// Whole number in the query of a target.
/// @return the number, the fallback when the query has no such name, or an error
Result<std::int64_t> QueryInt(std::string_view target, std::string_view name, std::int64_t fallback, std::int64_t max);

}  // namespace jaymast
