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

/// Prefix of the rows of confirmed plans whose tasks may not have been submitted yet.
inline constexpr std::string_view kConfirmedPrefix = "confirmed/";

/// Makes plans from the intents of operators and carries out confirmed plans.
class PlanService {
 public:
  struct Hooks {
    std::function<PlannerFacts()> facts;
    std::function<void(const ClusterConfig&)> push;  ///< sends a new configuration to all entries
  };

  PlanService(Context& context, TableClient& table, ConfigStore& config, const Membership& membership,
              TaskManager& tasks, Hooks hooks);

  /// Responds to intents with a plan. The plan is stored in the table, so that any entry can confirm it.
  void Plan(RequestId request, const std::vector<Intent>& intents);

  /// Carries out a plan if the configuration still has the version on which the plan is based. Otherwise responds with
  /// a new plan.
  void Confirm(RequestId request, const PlanId& plan, std::int64_t base_version);

  /// Submits the tasks of confirmed plans that may not have been submitted yet.
  void OnConfirmedRows(const std::vector<Row>& rows);

  /// Finds entries that may still start tasks under an older configuration.
  /// @param rows lease records and owner rows of all entries
  /// @param version configuration version that the entries have to acknowledge
  std::vector<EntryId> FindEntriesOnOlderConfig(const std::vector<Row>& rows, std::int64_t version) const;

  bool IsIdle() const { return m_open_transactions == 0 && m_pending_confirmations.empty(); }

 private:
  struct PendingConfirmation {
    RequestId request = 0;
    std::int64_t version = 0;  ///< configuration version that all entries have to acknowledge
    Time respond_by;
  };

  void StorePlan(RequestId request, const jaymast::Plan& plan, int status, const std::string& note);
  void OnPlanRead(RequestId request, const PlanId& plan, std::int64_t base_version, const ReadReply& reply);
  void ReplaceStalePlan(RequestId request, const std::vector<Intent>& intents);
  void CommitPlan(RequestId request, const PlanId& id, std::int64_t plan_row_version, const jaymast::Plan& plan);
  void OnCommitted(RequestId request, const jaymast::Plan& plan, bool changes_config, std::int64_t version);
  void SubmitRuns(const PlanId& id, const std::vector<Intent>& intents);
  void CheckAcknowledgements();
  void RespondToConfirmation(const PendingConfirmation& pending, const std::vector<EntryId>& not_in_force);
  void Fail(RequestId request, int status, Error error, Verdict verdict);

  Context& m_context;
  TableClient& m_table;
  ConfigStore& m_config;
  const Membership& m_membership;
  TaskManager& m_tasks;
  Hooks m_hooks;
  std::map<RequestId, PendingConfirmation> m_pending_confirmations;
  std::set<PlanId> m_submitting;  ///< confirmed plans whose tasks are being submitted
  std::uint64_t m_next_plan = 1;
  int m_open_transactions = 0;
  bool m_checking = false;
};

}  // namespace jaymast
