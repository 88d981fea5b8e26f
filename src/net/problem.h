#pragma once

#include "base/error.h"
#include "base/verdict.h"
#include "net/http_message.h"

namespace jaymast {

/// Creates a response of type application/problem+json, with the error id as its type, and the header Jaymast-Verdict.
HttpResponse ProblemResponse(int status, const Error& error, Verdict verdict);

}  // namespace jaymast
