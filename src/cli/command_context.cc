#include "cli/command_context.h"

#include <fmt/format.h>

#include <boost/json/serialize.hpp>
#include <cctype>
#include <ostream>

#include "cli/problem.h"
#include "cli/view_text.h"
#include "model/codec.h"

namespace jaymast {
namespace {

constexpr int kFirstErrorStatus = 300;

ExitCode ReportProblem(CommandContext& context, const Problem& problem) {
  context.err << context.palette.Paint(Tone::kRemoved, FormatProblem(problem)) << "\n";
  return problem.code;
}

}  // namespace

bool ObjectFromReply(const Result<ApiReply>& reply, boost::json::object& object) {
  if (!reply || reply->status >= kFirstErrorStatus) return false;
  Result<boost::json::object> parsed = ParseObject(reply->body.empty() ? "{}" : reply->body, "");
  if (!parsed) return false;
  object = std::move(*parsed);
  return true;
}

ExitCode ReportReply(CommandContext& context, const Result<ApiReply>& reply) {
  return ReportProblem(context, reply ? ProblemFromReply(*reply) : ProblemFromError(reply.error()));
}

bool CallForObject(CommandContext& context, const ApiCall& call, boost::json::object& object, ExitCode& code) {
  const Result<ApiReply> reply = context.api.Send(call);
  if (ObjectFromReply(reply, object)) return true;
  code = ReportReply(context, reply);
  return false;
}

ExitCode ReportError(CommandContext& context, const Error& error) {
  const std::string text = fmt::format("error: {}: {}: {}", ToString(error.id), error.path, error.reason);
  context.err << context.palette.Paint(Tone::kRemoved, text) << "\n";
  return ExitCodeFor(error.id);
}

void PrintObject(CommandContext& context, const boost::json::object& object) {
  if (context.output == OutputFormat::kJson) {
    context.out << boost::json::serialize(object) << "\n";
  } else {
    context.out << FormatView(object);
  }
}

std::string UrlSegment(std::string_view text) {
  constexpr std::string_view kUnreserved = "-._~";
  std::string escaped;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || kUnreserved.find(c) != std::string_view::npos) {
      escaped += c;
    } else {
      escaped += fmt::format("%{:02X}", byte);
    }
  }
  return escaped;
}

}  // namespace jaymast
