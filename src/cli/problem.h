#pragma once

#include <string>

#include "base/error.h"
#include "base/verdict.h"
#include "cli/api_client.h"
#include "cli/exit_code.h"

namespace jaymast {

/// An error answer of the server, or an error of the connection to it.
struct Problem {
  Error error;
  std::string type;  ///< stable id as the server sent it, also when this version does not know it
  Verdict verdict = Verdict::kNotRun;
  ExitCode code = ExitCode::kRefused;
};

/// Reads an answer with an error status. An answer that is not problem+json keeps its status in the reason.
Problem ProblemFromReply(const ApiReply& reply);

/// Problem of a call that got no answer.
Problem ProblemFromError(const Error& error);

/// One line for people: stable id, path, reason and whether the request may have taken effect.
std::string FormatProblem(const Problem& problem);

}  // namespace jaymast
