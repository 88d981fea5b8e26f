#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "core/context.h"
#include "core/table.h"

namespace jaymast {

class ConfigStore;
class Membership;
class TableClient;

/// This entry's part of the upper limit of each team. A started task takes one from it until the task has surely ended.
class Allotments {
 public:
  struct Hooks {
    std::function<void()> on_raised;           ///< an allotment of this entry may have been raised
    std::function<std::int64_t()> free_slots;  ///< slots that this entry could fill
  };

  Allotments(Context& context, TableClient& table, const ConfigStore& config, const Membership& membership,
             Hooks hooks);

  /// Starts the periodic work: a base allotment for each team, and cleaning up after dead entries.
  void Start();

  /// Takes one for a task that starts. When none is left, more is requested.
  bool TryAcquire(const TeamId& team);

  /// A task that took one has surely ended, or was never started.
  void Release(const TeamId& team);

  /// Counts tasks that already run on an upstream which this entry took over.
  void CountInherited(const TeamId& team, std::int64_t count);

  /// Prepares moving the allotment for inherited tasks from another holder.
  /// @param done gets the row conditions and writes; does not run when the store cannot be read
  void PrepareTransfer(const std::map<TeamId, std::int64_t>& counts, const EntryId& from,
                       std::function<void(std::vector<Condition>, std::vector<Write>)> done);

  /// Reads the rows of some teams again.
  void Refresh(const std::vector<TeamId>& teams);

  /// Tasks run on an upstream that this entry lost. They stay counted until OnTransferred(), so that the allotment
  /// which moves with them is not used here as well.
  void RetainUsage(const UpstreamId& upstream, const std::map<TeamId, std::int64_t>& counts);

  /// The new owner's allotments cover the tasks of a lost upstream.
  void OnTransferred(const UpstreamId& upstream);

  /// Drops the count of the tasks of a lost upstream at once: it was acquired again, or it is gone for good.
  void DropRetainedUsage(const UpstreamId& upstream);

  /// Another entry asks for unused allotment.
  void OnRequest(const TeamId& team, std::int64_t amount);

  /// Holders of the own failure domain that have no lease record as far as this entry knows.
  std::set<EntryId> HoldersWithoutLease() const;

  /// An entry is gone and can start nothing any more: its remaining allotments return to the pool.
  void ReclaimFrom(const EntryId& gone);

  std::int64_t Used(const TeamId& team) const;

  /// How many tasks of the team this entry may run now.
  std::int64_t Allowed(const TeamId& team) const;

 private:
  struct TeamState {
    std::map<EntryId, std::int64_t> holders;  ///< last known value of the row
    std::int64_t row_version = 0;
    std::int64_t used = 0;
    std::int64_t wanted = 0;  ///< starts refused for want of allotment since the last adjustment
    bool adjusting = false;
    Time next_request;  ///< earliest time to ask another holder again
  };
  /// Tasks counted here that run on an upstream which this entry lost.
  struct Lent {
    std::uint64_t sequence = 0;  ///< tells a later loss of the same upstream apart
    std::map<TeamId, std::int64_t> counts;
  };
  using Holders = std::map<EntryId, std::int64_t>;
  /// Changes the holders; returns whether there is something to write.
  using Change = std::function<bool(Holders& holders)>;

  void Adjust(const TeamId& team);
  void Update(const TeamId& team, Change change);
  void CommitUpdate(const TeamId& team, const Change& change);
  void OnCommitted(const TeamId& team, const Holders& holders, std::int64_t version);
  bool Raise(const TeamId& team, Holders& holders);
  void AskHolders(const TeamId& team, std::int64_t amount);
  /// @return false when the row is malformed; the last known amounts stay
  bool OnRow(const TeamId& team, const std::vector<Row>& rows);
  void Prewarm();
  std::int64_t Limit(const TeamId& team) const;
  std::int64_t Own(const TeamState& state) const;
  std::int64_t Useful(const TeamState& state) const;
  std::int64_t BaseAmount(const TeamId& team) const;
  void EmitChange(const TeamId& team);

  Context& m_context;
  TableClient& m_table;
  const ConfigStore& m_config;
  const Membership& m_membership;
  Hooks m_hooks;
  std::map<TeamId, TeamState> m_teams;
  std::map<UpstreamId, Lent> m_lent;
  std::uint64_t m_next_lent = 1;
  std::uint64_t m_prewarm_ticks = 0;
  TeamId m_prewarmed;  ///< last team that got its base allotment
};

}  // namespace jaymast
