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

/// Divides the limit of each team, the number of its running tasks, between the entries.
///
/// An allotment is this entry's share of a limit. Each started task uses one unit of it until the task has certainly
/// ended.
class Allotments {
 public:
  struct Hooks {
    std::function<void()> on_raised;           ///< an allotment of this entry may have grown
    std::function<std::int64_t()> free_slots;  ///< slots that this entry could fill
  };

  Allotments(Context& context, TableClient& table, const ConfigStore& config, const Membership& membership,
             Hooks hooks);

  /// Starts the periodic updates: a base allotment for each team, and a refresh of the rows.
  void Start();

  /// Uses one unit for a task that starts.
  /// @return false when the allotment is used up; more is then requested
  bool TryAcquire(const TeamId& team);

  /// Returns the unit of a task that has certainly ended or was never started.
  void Release(const TeamId& team);

  /// Counts tasks that already run on an upstream which this entry acquired.
  void CountInherited(const TeamId& team, std::int64_t count);

  /// Prepares the transfer of the allotment for inherited tasks from another holder.
  /// @param done gets the row conditions and writes; does not run when the store cannot be read
  void PrepareTransfer(const std::map<TeamId, std::int64_t>& counts, const EntryId& from,
                       std::function<void(std::vector<Condition>, std::vector<Write>)> done);

  /// Reads the rows of the teams again.
  void Refresh(const std::vector<TeamId>& teams);

  /// Keeps counting tasks that run on an upstream which this entry no longer owns until OnTransferred(), so that the
  /// allotment which moves with them is not used twice.
  void RetainUsage(const UpstreamId& upstream, const std::map<TeamId, std::int64_t>& counts);

  /// Stops counting the tasks of an upstream passed to RetainUsage(): its new owner holds their allotments.
  void OnTransferred(const UpstreamId& upstream);

  /// Stops counting the tasks of an upstream passed to RetainUsage() at once: it was acquired again or removed.
  void DropRetainedUsage(const UpstreamId& upstream);

  /// Returns part of the unused allotment to the pool on request of another entry.
  void OnRequest(const TeamId& team, std::int64_t amount);

  /// Holders of the own failure domain that have no lease record, as far as this entry knows.
  std::set<EntryId> HoldersWithoutLease() const;

  /// Returns the allotments of an entry that can no longer start tasks to the pool.
  void ReclaimFrom(const EntryId& gone);

  std::int64_t Used(const TeamId& team) const;

  /// Number of tasks of the team that this entry may run now.
  std::int64_t Allowed(const TeamId& team) const;

 private:
  struct TeamState {
    std::map<EntryId, std::int64_t> holders;  ///< last known value of the row
    std::int64_t row_version = 0;
    std::int64_t used = 0;
    std::int64_t wanted = 0;  ///< starts refused since the last adjustment because the allotment was used up
    bool adjusting = false;   ///< an update of the row is pending
    Time next_request;        ///< earliest time of the next request to other holders
  };
  /// Tasks that are still counted here and run on an upstream which this entry no longer owns.
  struct RetainedUsage {
    std::uint64_t sequence = 0;  ///< distinguishes a later loss of the same upstream
    std::map<TeamId, std::int64_t> counts;
  };
  using Holders = std::map<EntryId, std::int64_t>;
  /// Changes the holders. Returns false when there is nothing to write.
  using Change = std::function<bool(Holders& holders)>;

  /// Raises the own allotment, unless an update of the row is pending.
  void Adjust(const TeamId& team);
  /// Reads the row and commits the changed holders.
  void Update(const TeamId& team, Change change);
  void CommitUpdate(const TeamId& team, const Change& change);
  void OnCommitted(const TeamId& team, const Holders& holders, std::int64_t version);
  bool Raise(const TeamId& team, Holders& holders);
  void RequestFromHolders(const TeamId& team, std::int64_t amount);
  /// @return false when the row is malformed; the last known amounts stay
  bool OnRow(const TeamId& team, const std::vector<Row>& rows);
  void Prewarm();
  std::int64_t Limit(const TeamId& team) const;
  std::int64_t OwnAmount(const TeamState& state) const;
  std::int64_t UsefulIncrease(const TeamState& state) const;
  std::int64_t BaseAmount(const TeamId& team) const;
  void EmitChange(const TeamId& team);

  Context& m_context;
  TableClient& m_table;
  const ConfigStore& m_config;
  const Membership& m_membership;
  Hooks m_hooks;
  std::map<TeamId, TeamState> m_teams;
  std::map<UpstreamId, RetainedUsage> m_retained_usage;
  std::uint64_t m_next_sequence = 1;
  std::uint64_t m_prewarm_ticks = 0;
  TeamId m_prewarmed;  ///< last team that got its base allotment
};

}  // namespace jaymast
