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

/// Chooses the owner entry that is asked to run or hold a task.
class Router {
 public:
  Router(Context& context, const ConfigStore& config, const Membership& membership, const Executor& executor);

  /// Owner for a preview: this entry if it has room, then the own failure domain, then the others.
  /// @param tried entries that refused already; they are asked again only when there is no other
  std::optional<EntryId> ChooseForPreview(const TaskSpec& spec, const std::set<EntryId>& tried);

  /// A task was sent to an owner. Until the owner's next summary its free capacity counts as smaller, so that a burst
  /// of tasks does not all go to the owner that looked best before it.
  void AddPendingDemand(const EntryId& owner, const Resources& demand) { m_debits[owner] += demand; }

  /// A task that was sent to this entry itself has been placed or refused.
  void RemovePendingDemand(const EntryId& owner, const Resources& demand);

  void OnSummary(const EntryId& owner) { m_debits.erase(owner); }

  /// Owner for durable work: the less loaded of two entries drawn at random.
  std::optional<EntryId> ChooseForDurable(const TaskSpec& spec, const std::set<EntryId>& tried);

 private:
  std::vector<EntryId> Candidates(const TaskSpec& spec, const std::set<EntryId>& tried, bool must_fit,
                                  bool own_domain_only) const;
  bool IsUsable(const TaskSpec& spec, const EntryId& id, const Summary& summary, bool must_fit) const;
  std::int64_t FreeSlots(const EntryId& id) const;
  /// A usable entry whether or not the task fits there now; a tried one only when there is no other.
  std::optional<EntryId> ChooseAny(const TaskSpec& spec, const std::set<EntryId>& tried);
  std::optional<EntryId> BetterOfTwo(const std::vector<EntryId>& candidates);

  Context& m_context;
  const ConfigStore& m_config;
  const Membership& m_membership;
  const Executor& m_executor;
  std::map<EntryId, Resources> m_debits;
};

}  // namespace jaymast
