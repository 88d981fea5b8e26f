#include "cli/problem.h"

#include <fmt/format.h>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <optional>
#include <string_view>

#include "model/codec.h"

namespace jaymast {
namespace {

constexpr std::size_t kMaxQuotedBody = 200;

std::string TextField(const boost::json::object& object, std::string_view name) {
  const boost::json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) return "";
  return std::string(value->get_string());
}

std::string_view VerdictText(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not run";
    case Verdict::kMayHaveRun:
      return "may have run";
    case Verdict::kRan:
      return "ran";
  }
  return "";
}

}  // namespace

Problem ProblemFromReply(const ApiReply& reply) {
  const Result<boost::json::object> object = ParseObject(reply.body, "");
  if (!object || !object->contains("type")) {
    const std::string body = reply.body.substr(0, kMaxQuotedBody);
    const Error error{ErrorId::kOutcomeUnknown, "",
                      fmt::format("unexpected answer with status {}: {}", reply.status, body)};
    return Problem{error, std::string(ToString(error.id)), Verdict::kMayHaveRun, ExitCode::kOutcomeUnknown};
  }
  Problem problem;
  problem.type = TextField(*object, "type");
  problem.error.path = TextField(*object, "path");
  problem.error.reason = TextField(*object, "detail");
  problem.verdict = FromString<Verdict>(TextField(*object, "verdict")).value_or(Verdict::kMayHaveRun);
  const std::optional<ErrorId> id = FromString<ErrorId>(problem.type);
  if (id && *id != ErrorId::kNone) problem.error.id = *id;
  if (problem.error.id != ErrorId::kNone) problem.code = ExitCodeFor(problem.error.id);
  if (problem.verdict == Verdict::kMayHaveRun) problem.code = ExitCode::kOutcomeUnknown;
  return problem;
}

Problem ProblemFromError(const Error& error) {
  const Verdict verdict = error.id == ErrorId::kOutcomeUnknown ? Verdict::kMayHaveRun : Verdict::kNotRun;
  return Problem{error, std::string(ToString(error.id)), verdict, ExitCodeFor(error.id)};
}

std::string FormatProblem(const Problem& problem) {
  std::string text = "error: " + problem.type;
  if (!problem.error.path.empty()) text += fmt::format(": {}", problem.error.path);
  if (!problem.error.reason.empty()) text += fmt::format(": {}", problem.error.reason);
  return text + fmt::format(" ({})", VerdictText(problem.verdict));
}

}  // namespace jaymast
