#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/id.h"
#include "base/resources.h"
#include "core/context.h"
#include "model/task_spec.h"

namespace jaymast {

class ConfigStore;
class Executor;
class Membership;
struct Summary;

/// Chooses the owner entry that runs a preview or holds capacity for a durable task.
class Router {
 public:
  Router(Context& context, const ConfigStore& config, const Membership& membership, const Executor& executor);

  /// Owner for a preview: this entry if it has free capacity, then the own failure domain, then the others.
  /// @param tried entries that were tried already; they are chosen again only when there is no other
  std::optional<EntryId> ChooseForPreview(const TaskSpec& spec, const std::set<EntryId>& tried);

  /// Subtracts the demand of a task sent to an owner from its free capacity until its next summary, so that a burst of
  /// tasks does not go to a single owner.
  void AddPendingDemand(const EntryId& owner, const Resources& demand) { m_pending_demand[owner] += demand; }

  /// Undoes AddPendingDemand() when a hold request is closed. Affects only this entry as the owner: the demand of other
  /// owners is dropped with their next summary.
  void RemovePendingDemand(const EntryId& owner, const Resources& demand);

  void OnSummary(const EntryId& owner) { m_pending_demand.erase(owner); }

  /// Owner for a durable task: of two random entries where it fits, the one with more free slots. Entries where it does
  /// not fit now are chosen only if there is no other, and those in `tried` last.
  std::optional<EntryId> ChooseForDurable(const TaskSpec& spec, const std::set<EntryId>& tried);

 private:
  std::vector<EntryId> Candidates(const TaskSpec& spec, const std::set<EntryId>& tried, bool must_fit,
                                  bool own_domain_only) const;
  bool IsUsable(const TaskSpec& spec, const EntryId& id, const Summary& summary, bool must_fit) const;
  std::int64_t FreeSlots(const EntryId& id) const;
  /// A usable entry, whether or not the task fits there now. A tried one only when there is no other.
  std::optional<EntryId> ChooseAny(const TaskSpec& spec, const std::set<EntryId>& tried);
  std::optional<EntryId> BetterOfTwo(const std::vector<EntryId>& candidates);

  Context& m_context;
  const ConfigStore& m_config;
  const Membership& m_membership;
  const Executor& m_executor;
  std::map<EntryId, Resources> m_pending_demand;
};

}  // namespace jaymast
