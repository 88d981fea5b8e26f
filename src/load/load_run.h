#pragma once

#include "base/result.h"
#include "load/load_options.h"
#include "load/load_report.h"

namespace jaymast {

/// Sends the whole schedule and waits for the answers, at most for the timeout of the last request.
/// @return the report, or an error when a baseline runner cannot be fenced
Result<LoadReport> RunLoad(const LoadOptions& options);

}  // namespace jaymast
