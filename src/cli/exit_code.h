#pragma once

#include <array>
#include <string_view>

#include "base/enum_names.h"
#include "base/error.h"

namespace jaymast {

/// Exit codes of the program `jaymast`. The numbers are documented and do not change between versions.
enum class ExitCode {
  kSuccess = 0,
  kRefused = 1,         ///< the server refused the request for a reason that has no code of its own
  kUsage = 2,           ///< wrong arguments
  kInput = 3,           ///< a file or a setting is invalid
  kUnavailable = 4,     ///< the server or the table service cannot be reached; nothing was done
  kConflict = 5,        ///< another operator changed the configuration first; nothing was changed
  kNotAuthorized = 6,   ///< the key is missing, unknown, or has not the right role or team
  kNotConfirmed = 7,    ///< the operator did not confirm the plan
  kTaskFailed = 8,      ///< a task ended without success
  kOutcomeUnknown = 9,  ///< the request may have taken effect
  kTimeout = 10,        ///< the change or the tasks did not complete in time
};

template <>
struct EnumNames<ExitCode> {
  static constexpr std::array<std::string_view, 11> kNames = {
      "success",        "refused",       "usage",       "input",           "unavailable", "conflict",
      "not_authorized", "not_confirmed", "task_failed", "outcome_unknown", "timeout"};
};

/// Exit code for an error with a stable id.
constexpr ExitCode ExitCodeFor(ErrorId id) {
  switch (id) {
    case ErrorId::kNone:
      return ExitCode::kSuccess;
    case ErrorId::kInputSyntax:
    case ErrorId::kInputField:
    case ErrorId::kInputTooLarge:
      return ExitCode::kInput;
    case ErrorId::kStoreUnavailable:
    case ErrorId::kNotServing:
      return ExitCode::kUnavailable;
    case ErrorId::kPlanConflict:
      return ExitCode::kConflict;
    case ErrorId::kKeyMissing:
    case ErrorId::kKeyUnknown:
    case ErrorId::kKeyRole:
    case ErrorId::kTeamMismatch:
      return ExitCode::kNotAuthorized;
    case ErrorId::kTaskFailed:
    case ErrorId::kTaskCancelled:
      return ExitCode::kTaskFailed;
    case ErrorId::kOutcomeUnknown:
      return ExitCode::kOutcomeUnknown;
    default:
      return ExitCode::kRefused;
  }
}

}  // namespace jaymast
