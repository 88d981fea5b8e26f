#pragma once

#include <string>

#include "base/error.h"
#include "base/verdict.h"
#include "core/request.h"

namespace jaymast {

struct HomeTask;

/// The answer that refuses a request about tasks.
Response ErrorResponse(const Error& error, Verdict verdict);

/// Whether a task ran, as far as its home entry knows.
Verdict VerdictOf(const HomeTask& task);

/// A task as JSON, for answers to callers.
std::string DescribeTask(const HomeTask& task);

}  // namespace jaymast
