#include "cli/domain_commands.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <map>
#include <ostream>
#include <utility>

#include "cli/plan_commands.h"
#include "cli/view_text.h"

namespace jaymast {
namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds kPollInterval = std::chrono::seconds(1);

std::string Field(const json::object& row, std::string_view name) {
  const json::value* value = row.if_contains(name);
  return value == nullptr ? "" : CellText(*value);
}

const json::array* Rows(const json::object& view) {
  const json::value* rows = view.if_contains("upstreams");
  return rows == nullptr ? nullptr : rows->if_array();
}

bool Matches(const DrainTarget& target, const json::object& row) {
  return Field(row, target.kind == DrainKind::kDomain ? "domain" : "id") == target.name;
}

/// Number of tasks that the owner of an upstream reports, or nothing in the view of another entry.
std::optional<std::int64_t> TasksOf(const json::object& row) {
  const json::value* value = row.if_contains("tasks");
  if (value == nullptr) return std::nullopt;
  boost::system::error_code ec;
  const auto tasks = value->to_number<std::int64_t>(ec);
  return ec ? std::nullopt : std::optional<std::int64_t>(tasks);
}

/// Views of all entries that answer. Reports the last problem when none does.
bool ReadUpstreams(CommandContext& context, std::vector<json::object>& views, ExitCode& code) {
  ApiCall call;
  call.method = "GET";
  call.target = "/v1/upstreams";
  views.clear();
  std::optional<Result<ApiReply>> failed;
  for (const Result<ApiReply>& reply : context.api.SendToAll(call)) {
    json::object view;
    if (ObjectFromReply(reply, view)) {
      views.push_back(std::move(view));
    } else {
      failed = reply;
    }
  }
  if (views.empty() && failed) code = ReportReply(context, *failed);
  return !views.empty();
}

ExitCode ReportUnknown(CommandContext& context, const std::string& name) {
  return ReportError(context, Error{ErrorId::kInputField, name, "no failure domain or upstream has this name"});
}

std::string ProgressText(const std::string& name, const DrainProgress& progress) {
  std::string text = fmt::format("{}: {} tasks running", name, progress.running);
  if (progress.unreported > 0) {
    text += fmt::format(", {} upstreams without a report of their owner", progress.unreported);
  }
  return text + "\n";
}

ExitCode WaitUntilDrained(CommandContext& context, const DrainTarget& target, std::chrono::milliseconds patience) {
  for (std::chrono::milliseconds waited{0};; waited += kPollInterval) {
    std::vector<json::object> views;
    ExitCode code = ExitCode::kSuccess;
    if (!ReadUpstreams(context, views, code)) return code;
    const std::optional<DrainProgress> progress = ProgressOf(target, views);
    // The platform has removed the upstreams, so nothing can run on them.
    if (!progress) return ExitCode::kSuccess;
    context.err << ProgressText(target.name, *progress);
    if (progress->running == 0 && progress->unreported == 0) return ExitCode::kSuccess;
    if (waited >= patience) return ExitCode::kTimeout;
    context.sleep(kPollInterval);
  }
}

}  // namespace

Intent DrainIntent(const DrainTarget& target, bool out) {
  if (target.kind == DrainKind::kDomain) return SetDomainIntent{DomainId(target.name), out};
  return SetUpstreamIntent{UpstreamId(target.name), out};
}

std::optional<DrainProgress> ProgressOf(const DrainTarget& target, const std::vector<json::object>& views) {
  std::map<std::string, std::optional<std::int64_t>> tasks;
  for (const json::object& view : views) {
    const json::array* rows = Rows(view);
    if (rows == nullptr) continue;
    for (const json::value& row : *rows) {
      if (!row.is_object() || !Matches(target, row.get_object())) continue;
      std::optional<std::int64_t>& known = tasks[Field(row.get_object(), "id")];
      known = std::max(known, TasksOf(row.get_object()));
    }
  }
  if (tasks.empty()) return std::nullopt;
  DrainProgress progress;
  for (const auto& [upstream, count] : tasks) {
    progress.running += count.value_or(0);
    progress.unreported += count ? 0 : 1;
  }
  return progress;
}

std::optional<DrainTarget> FindDrainTarget(const std::string& name, const std::vector<json::object>& views) {
  for (const DrainKind kind : {DrainKind::kDomain, DrainKind::kUpstream}) {
    const DrainTarget target{kind, name};
    if (ProgressOf(target, views)) return target;
  }
  return std::nullopt;
}

ExitCode RunDrain(CommandContext& context, const std::string& name, std::chrono::milliseconds patience) {
  std::vector<json::object> views;
  ExitCode code = ExitCode::kSuccess;
  if (!ReadUpstreams(context, views, code)) return code;
  const std::optional<DrainTarget> target = FindDrainTarget(name, views);
  if (!target) return ReportUnknown(context, name);
  code = RunApply(context, {DrainIntent(*target, true)});
  // A change that is not in force everywhere yet is recorded, and the tasks elsewhere drain already.
  if (code != ExitCode::kSuccess && code != ExitCode::kTimeout) return code;
  const ExitCode drained = WaitUntilDrained(context, *target, patience);
  return drained == ExitCode::kSuccess ? code : drained;
}

ExitCode RunRestore(CommandContext& context, const std::string& name) {
  std::vector<json::object> views;
  ExitCode code = ExitCode::kSuccess;
  if (!ReadUpstreams(context, views, code)) return code;
  const std::optional<DrainTarget> target = FindDrainTarget(name, views);
  if (!target) return ReportUnknown(context, name);
  return RunApply(context, {DrainIntent(*target, false)});
}

}  // namespace jaymast
