#pragma once

#include <string>

#include "base/error.h"
#include "base/verdict.h"
#include "core/request.h"

namespace jaymast {

struct HomeTask;

/// Builds the response for a failed task request.
Response ErrorResponse(const Error& error, Verdict verdict);

/// Returns whether a task ran, as far as its home entry knows.
Verdict VerdictOf(const HomeTask& task);

/// Formats a task as JSON for responses to callers.
std::string DescribeTask(const HomeTask& task);

}  // namespace jaymast
