#include "cli/plan_commands.h"

#include <fmt/format.h>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <istream>
#include <ostream>

#include "cli/plan_text.h"
#include "cli/view_text.h"
#include "model/codec.h"

namespace jaymast {
namespace {

namespace json = boost::json;

ApiCall PlanCall(const std::vector<Intent>& intents) {
  json::array array;
  for (const Intent& intent : intents) array.emplace_back(ToJson(intent));
  ApiCall call;
  call.method = "POST";
  call.target = "/v1/plans";
  call.body = json::serialize(json::object{{"intents", std::move(array)}});
  return call;
}

ApiCall ConfirmCall(const std::string& plan, std::int64_t base_version) {
  ApiCall call;
  call.method = "POST";
  call.target = fmt::format("/v1/plans/{}/confirm", UrlSegment(plan));
  call.body = json::serialize(json::object{{"base_version", base_version}});
  return call;
}

void PrintPlan(CommandContext& context, const json::object& plan) {
  if (context.output == OutputFormat::kJson) {
    context.out << json::serialize(plan) << "\n";
  } else {
    context.out << FormatPlan(plan, context.palette);
  }
}

std::int64_t BaseVersion(const json::object& plan) {
  const json::value* value = plan.if_contains("base_version");
  return value == nullptr || !value->is_int64() ? 0 : value->get_int64();
}

std::string PlanName(const json::object& plan) {
  const json::value* value = plan.if_contains("id");
  return value == nullptr ? "" : CellText(*value);
}

/// Whether the answer to a confirmation says that every entry has the change.
bool IsInForce(const json::object& answer) {
  const json::value* accepted = answer.if_contains("accepted");
  return accepted == nullptr || !accepted->is_bool() || accepted->get_bool();
}

}  // namespace

bool AskToConfirm(CommandContext& context, const std::string& question) {
  if (context.assume_yes) return true;
  context.err << question << " [y/N] " << std::flush;
  std::string answer;
  std::getline(context.in, answer);
  return answer == "y" || answer == "yes";
}

ExitCode RunPlan(CommandContext& context, const std::vector<Intent>& intents) {
  json::object plan;
  ExitCode code = ExitCode::kSuccess;
  if (!CallForObject(context, PlanCall(intents), plan, code)) return code;
  PrintPlan(context, plan);
  if (context.output == OutputFormat::kTable) {
    context.out << fmt::format("\nTo confirm: jaymast confirm {} {}\n", PlanName(plan), BaseVersion(plan));
  }
  return ExitCode::kSuccess;
}

ExitCode RunConfirm(CommandContext& context, const std::string& plan, std::int64_t base_version) {
  json::object answer;
  ExitCode code = ExitCode::kSuccess;
  if (!CallForObject(context, ConfirmCall(plan, base_version), answer, code)) return code;
  PrintObject(context, answer);
  if (IsInForce(answer)) return ExitCode::kSuccess;
  context.err << "the change is recorded, but not in force everywhere yet\n";
  return ExitCode::kTimeout;
}

ExitCode RunApply(CommandContext& context, const std::vector<Intent>& intents) {
  bool conflict = false;
  while (true) {
    json::object plan;
    ExitCode code = ExitCode::kSuccess;
    if (!CallForObject(context, PlanCall(intents), plan, code)) return code;
    PrintPlan(context, plan);
    if (conflict && context.assume_yes) return ExitCode::kConflict;
    if (!AskToConfirm(context, "Confirm this plan?")) {
      context.err << "not confirmed; nothing was changed\n";
      return ExitCode::kNotConfirmed;
    }
    code = RunConfirm(context, PlanName(plan), BaseVersion(plan));
    if (code != ExitCode::kConflict) return code;
    context.err << "the configuration changed after the plan was made; this is the new plan:\n";
    conflict = true;
  }
}

}  // namespace jaymast
