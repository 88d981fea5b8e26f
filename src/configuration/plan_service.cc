#include "configuration/plan_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <utility>

#include "base/http_status.h"
#include "membership/entry_record.h"
#include "membership/membership.h"
#include "model/codec.h"
#include "ownership/owner_record.h"
#include "tasks/task_manager.h"

namespace jaymast {
namespace {

namespace json = boost::json;

/// Time for all entries to acknowledge a change. After it, the response lists the entries that have not.
constexpr Duration kAcknowledgementTimeout = std::chrono::seconds(3);
constexpr Duration kCheckInterval = std::chrono::milliseconds(100);

std::string PlanKey(const PlanId& id) { return "plan/" + id.value(); }
std::string ConfirmedKey(const PlanId& id) { return std::string(kConfirmedPrefix) + id.value(); }

json::object EncodePlan(std::int64_t base_version, const std::vector<Intent>& intents) {
  json::array array;
  for (const Intent& intent : intents) array.emplace_back(ToJson(intent));
  return {{"base_version", base_version}, {"intents", std::move(array)}};
}

struct StoredPlan {
  std::int64_t base_version = 0;
  std::vector<Intent> intents;
};

Result<StoredPlan> DecodePlan(const std::string& text) {
  const Result<json::object> object = ParseObject(text, "plan");
  if (!object) return object.error();
  StoredPlan plan;
  const json::value* version = object->if_contains("base_version");
  const json::value* intents = object->if_contains("intents");
  if (version == nullptr || !version->is_int64() || intents == nullptr || !intents->is_array()) {
    return Error{ErrorId::kInputField, "plan", "incomplete"};
  }
  plan.base_version = version->get_int64();
  for (const json::value& value : intents->get_array()) {
    if (!value.is_object()) return Error{ErrorId::kInputField, "plan/intents", "expected an array of objects"};
    Result<Intent> intent = IntentFromJson(value.get_object(), "plan/intents");
    if (!intent) return intent.error();
    plan.intents.push_back(std::move(*intent));
  }
  return plan;
}

bool HasRuns(const std::vector<Intent>& intents) {
  return std::any_of(intents.begin(), intents.end(),
                     [](const Intent& intent) { return std::holds_alternative<RunIntent>(intent); });
}

}  // namespace

PlanService::PlanService(Context& context, TableClient& table, ConfigStore& config, const Membership& membership,
                         TaskManager& tasks, Hooks hooks)
    : m_context(context),
      m_table(table),
      m_config(config),
      m_membership(membership),
      m_tasks(tasks),
      m_hooks(std::move(hooks)) {}

void PlanService::Fail(RequestId request, int status, Error error, Verdict verdict) {
  Response response;
  response.status = status;
  response.verdict = verdict;
  response.error = std::move(error);
  m_context.effects.Reply(request, response);
}

void PlanService::Plan(RequestId request, const std::vector<Intent>& intents) {
  const Result<jaymast::Plan> plan = MakePlan(m_config.config(), intents, m_hooks.facts());
  if (!plan) return Fail(request, kStatusBadRequest, plan.error(), Verdict::kNotRun);
  StorePlan(request, *plan, kStatusOk, "");
}

void PlanService::StorePlan(RequestId request, const jaymast::Plan& plan, int status, const std::string& note) {
  jaymast::Plan stored = plan;
  stored.id = PlanId(fmt::format("{}-p{}", m_context.self.value(), m_next_plan++));
  const std::string text = json::serialize(EncodePlan(stored.base_version, stored.intents));
  ++m_open_transactions;
  m_table.Commit({{PlanKey(stored.id), 0}}, {{PlanKey(stored.id), text}},
                 [this, request, stored, status, note](CommitOutcome outcome, std::int64_t /*version*/) {
                   --m_open_transactions;
                   if (outcome != CommitOutcome::kCommitted) {
                     return Fail(request, kStatusUnavailable,
                                 Error{ErrorId::kStoreUnavailable, "", "the plan could not be stored"},
                                 Verdict::kNotRun);
                   }
                   Event event;
                   event.kind = EventKind::kPlanMade;
                   event.config_version = stored.base_version;
                   event.detail = stored.id.value();
                   m_context.effects.Emit(event);
                   Response response;
                   response.status = status;
                   response.body = json::serialize(ToJson(stored));
                   if (!note.empty()) response.error = Error{ErrorId::kPlanConflict, "/base_version", note};
                   m_context.effects.Reply(request, response);
                 });
}

void PlanService::Confirm(RequestId request, const PlanId& plan, std::int64_t base_version) {
  ReadRequest read;
  read.keys = {PlanKey(plan), ConfirmedKey(plan), std::string(kConfigKey)};
  ++m_open_transactions;
  m_table.Read(read, [this, request, plan, base_version](const ReadReply& reply) {
    --m_open_transactions;
    OnPlanRead(request, plan, base_version, reply);
  });
}

void PlanService::OnPlanRead(RequestId request, const PlanId& id, std::int64_t base_version, const ReadReply& reply) {
  if (!reply.available) {
    return Fail(request, kStatusUnavailable,
                Error{ErrorId::kStoreUnavailable, "", "no change can be confirmed while the store is unreachable"},
                Verdict::kNotRun);
  }
  const Row* plan_row = nullptr;
  for (const Row& row : reply.rows) {
    if (row.key == kConfigKey) m_config.OnRow(row);
    if (row.key == PlanKey(id)) plan_row = &row;
  }
  if (plan_row == nullptr) {
    return Fail(request, kStatusNotFound, Error{ErrorId::kPlanUnknown, id.value(), "no such plan, or confirmed before"},
                Verdict::kNotRun);
  }
  const Result<StoredPlan> stored = DecodePlan(plan_row->value);
  if (!stored) return Fail(request, kStatusBadRequest, stored.error(), Verdict::kNotRun);
  const bool is_current =
      stored->base_version == m_config.config().version && base_version == m_config.config().version;
  if (!is_current) return ReplaceStalePlan(request, stored->intents);
  const Result<jaymast::Plan> plan = MakePlan(m_config.config(), stored->intents, m_hooks.facts());
  if (!plan) return Fail(request, kStatusBadRequest, plan.error(), Verdict::kNotRun);
  CommitPlan(request, id, plan_row->version, *plan);
}

void PlanService::ReplaceStalePlan(RequestId request, const std::vector<Intent>& intents) {
  const Result<jaymast::Plan> plan = MakePlan(m_config.config(), intents, m_hooks.facts());
  if (!plan) return Fail(request, kStatusConflict, plan.error(), Verdict::kNotRun);
  StorePlan(request, *plan, kStatusConflict, "the configuration has changed; this is a new plan");
}

void PlanService::CommitPlan(RequestId request, const PlanId& id, std::int64_t plan_row_version,
                             const jaymast::Plan& plan) {
  jaymast::Plan confirmed = plan;
  confirmed.id = id;
  const bool changes_config = confirmed.target != m_config.config();
  std::vector<Condition> conditions = {{PlanKey(id), plan_row_version},
                                       {std::string(kConfigKey), m_config.row_version()}};
  std::vector<Write> writes = {{PlanKey(id), std::nullopt}};
  if (changes_config) {
    confirmed.target.version = m_config.config().version + 1;
    writes.push_back({std::string(kConfigKey), json::serialize(ToJson(confirmed.target))});
  }
  // The runs are recorded with the confirmation, so that another entry submits them if this one fails.
  if (HasRuns(plan.intents)) {
    writes.push_back({ConfirmedKey(id), json::serialize(EncodePlan(plan.base_version, plan.intents))});
  }
  ++m_open_transactions;
  m_table.Commit(std::move(conditions), std::move(writes),
                 [this, request, confirmed, changes_config](CommitOutcome outcome, std::int64_t version) {
                   --m_open_transactions;
                   switch (outcome) {
                     case CommitOutcome::kCommitted:
                       return OnCommitted(request, confirmed, changes_config, version);
                     case CommitOutcome::kConflict:
                       // Another transaction came first. The next read shows a newer configuration or a deleted plan.
                       return Confirm(request, confirmed.id, confirmed.base_version);
                     case CommitOutcome::kUnavailable:
                       return Fail(request, kStatusUnavailable,
                                   Error{ErrorId::kStoreUnavailable, "", "the confirmation was not recorded"},
                                   Verdict::kNotRun);
                   }
                 });
}

void PlanService::OnCommitted(RequestId request, const jaymast::Plan& plan, bool changes_config, std::int64_t version) {
  if (HasRuns(plan.intents)) SubmitRuns(plan.id, plan.intents);
  PendingConfirmation pending{request, plan.target.version, m_context.Now() + kAcknowledgementTimeout};
  if (!changes_config) return RespondToConfirmation(pending, {});
  Event event;
  event.kind = EventKind::kConfigCommitted;
  event.config_version = plan.target.version;
  event.detail = plan.id.value();
  m_context.effects.Emit(event);
  m_config.OnCommitted(plan.target, version);
  m_hooks.push(plan.target);
  m_pending_confirmations[request] = pending;
  CheckAcknowledgements();
}

void PlanService::SubmitRuns(const PlanId& id, const std::vector<Intent>& intents) {
  if (!m_submitting.insert(id).second) return;
  std::vector<TaskSpec> specs;
  for (const Intent& intent : intents) {
    const auto* run = std::get_if<RunIntent>(&intent);
    if (run == nullptr) continue;
    for (std::int64_t i = 0; i < run->replicas; ++i) specs.push_back(run->spec);
  }
  m_tasks.SubmitForPlan(id, std::move(specs), [this, id](bool is_complete) {
    if (!is_complete) {
      m_submitting.erase(id);
      return;
    }
    m_table.Commit({}, {{ConfirmedKey(id), std::nullopt}},
                   [this, id](CommitOutcome /*outcome*/, std::int64_t /*version*/) { m_submitting.erase(id); });
  });
}

void PlanService::OnConfirmedRows(const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    const PlanId id(row.key.substr(kConfirmedPrefix.size()));
    const Result<StoredPlan> plan = DecodePlan(row.value);
    if (plan) SubmitRuns(id, plan->intents);
  }
}

std::vector<EntryId> PlanService::FindEntriesOnOlderConfig(const std::vector<Row>& rows, std::int64_t version) const {
  std::set<EntryId> lagging;
  std::set<EntryId> present;
  for (const Row& row : rows) {
    if (!row.key.starts_with(kEntryPrefix)) continue;
    const EntryId id(row.key.substr(kEntryPrefix.size()));
    present.insert(id);
    const Result<EntryRecord> record = DecodeEntryRecord(row.value);
    if (!record || record->config_version < version) lagging.insert(id);
  }
  for (const Row& row : rows) {
    if (!row.key.starts_with(kOwnerPrefix)) continue;
    const Result<OwnerRecord> record = DecodeOwnerRecord(row.value);
    if (!record) continue;
    // An entry without a lease record may still start tasks on upstreams that no other entry has fenced.
    for (const EntryId& id : {record->owner, record->covered_by}) {
      if (!id.empty() && !present.contains(id)) lagging.insert(id);
    }
  }
  return {lagging.begin(), lagging.end()};
}

void PlanService::CheckAcknowledgements() {
  if (m_checking || m_pending_confirmations.empty()) return;
  m_checking = true;
  ReadRequest request;
  request.prefixes = {std::string(kEntryPrefix), std::string(kOwnerPrefix)};
  m_table.Read(request, [this](const ReadReply& reply) {
    m_checking = false;
    std::vector<PendingConfirmation> finished;
    for (const auto& [request_id, pending] : m_pending_confirmations) {
      const bool is_late = m_context.Now() >= pending.respond_by;
      const bool is_in_force = reply.available && FindEntriesOnOlderConfig(reply.rows, pending.version).empty();
      if (is_in_force || is_late) finished.push_back(pending);
    }
    for (const PendingConfirmation& pending : finished) {
      m_pending_confirmations.erase(pending.request);
      RespondToConfirmation(pending, reply.available
                                         ? FindEntriesOnOlderConfig(reply.rows, pending.version)
                                         : std::vector<EntryId>{EntryId("unknown: the store is unreachable")});
    }
    if (!m_pending_confirmations.empty()) m_context.After(kCheckInterval, [this] { CheckAcknowledgements(); });
  });
}

void PlanService::RespondToConfirmation(const PendingConfirmation& pending, const std::vector<EntryId>& not_in_force) {
  json::array lagging;
  for (const EntryId& id : not_in_force) {
    lagging.emplace_back(json::object{{"entry", id.value()}, {"domain", DomainOf(id).value()}});
  }
  const bool is_accepted = not_in_force.empty();
  if (is_accepted) {
    Event event;
    event.kind = EventKind::kConfigAccepted;
    event.config_version = pending.version;
    m_context.effects.Emit(event);
  }
  Response response;
  response.status = is_accepted ? kStatusOk : kStatusAccepted;
  response.verdict = Verdict::kRan;
  response.body = json::serialize(
      json::object{{"accepted", is_accepted}, {"version", pending.version}, {"not_in_force", std::move(lagging)}});
  m_context.effects.Reply(pending.request, response);
}

}  // namespace jaymast
