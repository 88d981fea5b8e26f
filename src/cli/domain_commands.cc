#include "cli/domain_commands.h"

#include <fmt/format.h>

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <ostream>

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

std::int64_t RunningOf(const json::object& row) {
  const json::value* value = row.if_contains("running");
  if (value == nullptr) return 0;
  boost::system::error_code ec;
  const auto running = value->to_number<std::int64_t>(ec);
  return ec ? 0 : running;
}

bool ReadUpstreams(CommandContext& context, json::object& view, ExitCode& code) {
  ApiCall call;
  call.method = "GET";
  call.target = "/v1/upstreams";
  return CallForObject(context, call, view, code);
}

ExitCode ReportUnknown(CommandContext& context, const std::string& name) {
  return ReportError(context, Error{ErrorId::kInputField, name, "no failure domain or upstream has this name"});
}

ExitCode WaitUntilDrained(CommandContext& context, const DrainTarget& target, std::chrono::milliseconds patience) {
  for (std::chrono::milliseconds waited{0};; waited += kPollInterval) {
    json::object view;
    ExitCode code = ExitCode::kSuccess;
    if (!ReadUpstreams(context, view, code)) return code;
    const std::int64_t running = RunningIn(target, view).value_or(0);
    context.err << fmt::format("{}: {} tasks running\n", target.name, running);
    if (running == 0) return ExitCode::kSuccess;
    if (waited >= patience) return ExitCode::kTimeout;
    context.sleep(kPollInterval);
  }
}

}  // namespace

Intent DrainIntent(const DrainTarget& target, bool out) {
  if (target.kind == DrainKind::kDomain) return SetDomainIntent{DomainId(target.name), out};
  return SetUpstreamIntent{UpstreamId(target.name), out};
}

std::optional<std::int64_t> RunningIn(const DrainTarget& target, const json::object& upstreams_view) {
  const json::array* rows = Rows(upstreams_view);
  if (rows == nullptr) return std::nullopt;
  std::optional<std::int64_t> running;
  for (const json::value& row : *rows) {
    if (!row.is_object() || !Matches(target, row.get_object())) continue;
    running = running.value_or(0) + RunningOf(row.get_object());
  }
  return running;
}

std::optional<DrainTarget> FindDrainTarget(const std::string& name, const json::object& upstreams_view) {
  for (const DrainKind kind : {DrainKind::kDomain, DrainKind::kUpstream}) {
    const DrainTarget target{kind, name};
    if (RunningIn(target, upstreams_view)) return target;
  }
  return std::nullopt;
}

ExitCode RunDrain(CommandContext& context, const std::string& name, std::chrono::milliseconds patience) {
  json::object view;
  ExitCode code = ExitCode::kSuccess;
  if (!ReadUpstreams(context, view, code)) return code;
  const std::optional<DrainTarget> target = FindDrainTarget(name, view);
  if (!target) return ReportUnknown(context, name);
  code = RunApply(context, {DrainIntent(*target, true)});
  if (code != ExitCode::kSuccess) return code;
  return WaitUntilDrained(context, *target, patience);
}

ExitCode RunRestore(CommandContext& context, const std::string& name) {
  json::object view;
  ExitCode code = ExitCode::kSuccess;
  if (!ReadUpstreams(context, view, code)) return code;
  const std::optional<DrainTarget> target = FindDrainTarget(name, view);
  if (!target) return ReportUnknown(context, name);
  return RunApply(context, {DrainIntent(*target, false)});
}

}  // namespace jaymast
