#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "configuration/config_store.h"
#include "configuration/planner.h"
#include "core/context.h"
#include "core/request.h"
#include "core/table_client.h"
#include "model/plan.h"

namespace jaymast {

class Membership;
class TaskManager;

/// Prefix of the rows of confirmed plans whose tasks are being submitted.
inline constexpr std::string_view kConfirmedPrefix = "confirmed/";

/// Plans and confirmations of operators.
class PlanService {
 public:
  struct Hooks {
    std::function<PlannerFacts()> facts;
    std::function<void(const ClusterConfig&)> push;  ///< tells all entries of a new configuration
  };

  PlanService(Context& context, TableClient& table, ConfigStore& config, const Membership& membership,
              TaskManager& tasks, Hooks hooks);

  /// Answers intents with a plan. The plan is kept in the table, so that any entry can confirm it.
  void Plan(RequestId request, const std::vector<Intent>& intents);

  /// Carries out a plan if the configuration still has the version that the plan was made from.
  void Confirm(RequestId request, const PlanId& plan, std::int64_t base_version);

  /// Takes in rows of confirmed plans whose tasks may not have been submitted yet.
  void OnConfirmedRows(const std::vector<Row>& rows);

  /// Takes in the lease records and owner rows of the whole fleet while a change waits for acknowledgements.
  /// @return entries that may still start work under an older version
  std::vector<EntryId> FindEntriesOnOlderConfig(const std::vector<Row>& rows, std::int64_t version) const;

  bool IsIdle() const { return m_open_plans == 0 && m_waiting.empty(); }

 private:
  struct WaitingConfirm {
    RequestId request = 0;
    std::int64_t version = 0;
    Time answer_at;
  };

  void StorePlan(RequestId request, const jaymast::Plan& plan, int status, const std::string& note);
  void OnPlanRead(RequestId request, const PlanId& plan, std::int64_t base_version, const ReadReply& reply);
  void Conflict(RequestId request, const std::vector<Intent>& intents);
  void CommitPlan(RequestId request, const PlanId& id, std::int64_t plan_row_version, const jaymast::Plan& plan);
  void OnCommitted(RequestId request, const jaymast::Plan& plan, bool changes_config, std::int64_t version);
  void SubmitRuns(const PlanId& id, const std::vector<Intent>& intents);
  void CheckAcknowledgements();
  void AnswerConfirm(const WaitingConfirm& waiting, const std::vector<EntryId>& not_in_force);
  void Fail(RequestId request, int status, Error error, Verdict verdict);

  Context& m_context;
  TableClient& m_table;
  ConfigStore& m_config;
  const Membership& m_membership;
  TaskManager& m_tasks;
  Hooks m_hooks;
  std::map<RequestId, WaitingConfirm> m_waiting;
  std::set<PlanId> m_submitting;
  std::uint64_t m_next_plan = 1;
  int m_open_plans = 0;
  bool m_checking = false;
};

}  // namespace jaymast
