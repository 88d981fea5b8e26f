#include "cli/view_commands.h"

#include <ostream>

namespace jaymast {
namespace {

constexpr int kFirstErrorStatus = 300;

ExitCode PrintView(CommandContext& context, const std::string& target) {
  ApiCall call;
  call.method = "GET";
  call.target = target;
  boost::json::object view;
  ExitCode code = ExitCode::kSuccess;
  if (!CallForObject(context, call, view, code)) return code;
  PrintObject(context, view);
  return ExitCode::kSuccess;
}

}  // namespace

ExitCode RunView(CommandContext& context, const std::string& view) { return PrintView(context, "/v1/" + view); }

ExitCode RunExplain(CommandContext& context, const std::string& task) {
  return PrintView(context, "/v1/explain/" + UrlSegment(task));
}

ExitCode RunEvents(CommandContext& context) {
  ApiCall call;
  call.method = "GET";
  call.target = "/v1/events";
  const Result<ApiReply> reply = context.api.Send(call);
  if (reply && reply->status < kFirstErrorStatus) {
    context.out << reply->body;
    return ExitCode::kSuccess;
  }
  return ReportReply(context, reply);
}

}  // namespace jaymast
