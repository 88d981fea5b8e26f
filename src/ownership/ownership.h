#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "core/context.h"
#include "core/table.h"
#include "core/upstream_protocol.h"
#include "model/instance_list.h"
#include "ownership/owner_record.h"

namespace jaymast {

class Membership;
class TableClient;

/// An upstream that this entry has just fenced and now owns.
struct AcquiredUpstream {
  UpstreamInfo info;
  std::int64_t epoch = 0;
  std::int64_t reset_epoch = 0;
  bool is_committed = false;             ///< the owner row names this entry
  const UpstreamReply* reply = nullptr;  ///< the runner's report, valid during the call only
};

/// Conditions and writes of a transaction that moves the allotments of an upstream's tasks to this entry.
struct AllotmentTransfer {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

/// Claims, fences and hands over upstreams of the own failure domain, and keeps their epochs.
class Ownership {
 public:
  struct Hooks {
    /// The upstream may be used from now on.
    std::function<void(const AcquiredUpstream&)> on_acquired;
    /// This entry no longer owns the upstream.
    std::function<void(const UpstreamId&)> on_ownership_lost;
    /// The new owner of an upstream that this entry owned before holds the allotments of the tasks that run there.
    std::function<void(const UpstreamId&)> on_allotments_transferred;
    /// Prepares the transfer of the allotments from `from`. The callback does not run when the store cannot be read.
    std::function<void(const UpstreamId&, const EntryId& from, std::function<void(AllotmentTransfer)>)>
        prepare_allotment_transfer;
    /// The owner row of an acquired upstream was committed, and with it the transfer of the allotments.
    std::function<void(const UpstreamId&)> on_committed;
    /// The leases of all tasks on the upstream have expired for certain.
    std::function<void(const UpstreamId&)> on_leases_expired;
    /// The owner row of an upstream that was handed over is committed.
    std::function<void()> on_handed_over;
    /// The upstream was removed after it left the list.
    std::function<void(const UpstreamId&)> on_removed;
  };

  Ownership(Context& context, TableClient& table, Membership& membership, Hooks hooks);

  void OnInstances(const InstanceList& list);

  /// Applies the owner rows of the own failure domain.
  void OnRows(const std::vector<Row>& rows);

  /// Starts all claims, fences and handovers that are due.
  void Reconcile();

  /// Handles a runner's refusal: another owner has fenced it, or it restarted.
  void OnRefused(const UpstreamId& id, const FencingToken& current);

  /// Expires the task leases of a runner that has not replied for longer than a lease, by claiming the upstream again.
  /// If the claim commits, no other owner can have renewed the leases, and `on_leases_expired` is called.
  void ExpireTaskLeases(const UpstreamId& id);

  /// Hands all upstreams over for a planned stop.
  void HandOverAll();

  std::size_t OwnedCount() const;

  /// Upstreams handed over to other entries so far.
  std::int64_t handovers() const { return m_handovers; }

  /// Whether this entry has fenced every listed upstream whose row names it, so that its capacity is known.
  bool HasFencedOwnUpstreams() const;

  /// Whether handovers are still being committed.
  bool IsHandingOver() const { return m_pending_handovers > 0; }

  /// Whether every known upstream is fenced by an owner with a lease record, which has counted its tasks. An entry
  /// without a record can then start nothing in this failure domain.
  bool IsEveryUpstreamFenced() const;

  /// The owner of an upstream of the own failure domain, as far as this entry knows.
  std::optional<EntryId> FindOwner(const UpstreamId& id) const;

 private:
  enum class Phase { kNone, kClaiming, kFencing, kOwned, kHandingOver };

  struct Upstream {
    UpstreamInfo info;
    bool is_listed = false;
    Time remove_at;   ///< when an upstream that left the list is removed
    OwnerRecord row;  ///< last known value of the owner row
    std::int64_t row_version = 0;
    Phase phase = Phase::kNone;
    std::int64_t epoch = 0;  ///< epoch of this entry's last claim or fence; `row` may not show it yet
    std::int64_t reset_epoch = 0;
    std::int64_t reported_epoch = 0;  ///< highest epoch that the runner reported
    bool is_committed = false;        ///< the row names this entry at `epoch`
    bool is_write_pending = false;    ///< a write of the fenced row is pending
    bool is_expiring_leases = false;  ///< the pending claim expires the task leases
    bool is_fence_pending = false;    ///< a fence call is pending
    Time next_try;                    ///< earliest time of the next claim or fence
    Time next_write;                  ///< earliest time to record the fence again
    Time handover_at;                 ///< when to hand over to a better-ranked owner; zero when there is none
  };

  void ReconcileUnowned(const UpstreamId& id, Upstream& upstream);
  void ReconcileOwned(const UpstreamId& id, Upstream& upstream);
  bool IsOwnerGone(const Upstream& upstream) const;
  EntryId PreferredOwner(const UpstreamId& id) const;
  void Claim(const UpstreamId& id, Upstream& upstream);
  void OnClaimed(const UpstreamId& id, std::int64_t epoch, bool committed, std::int64_t version);
  void Fence(const UpstreamId& id, Upstream& upstream);
  void OnFenced(const UpstreamId& id, std::int64_t epoch, const UpstreamReply& reply);
  void Acquire(const UpstreamId& id, Upstream& upstream, const UpstreamReply& reply);
  /// Records a fence in the owner row, together with the transfer of the allotments.
  void CommitFenced(const UpstreamId& id);
  void CommitTransfer(const UpstreamId& id, std::int64_t epoch, AllotmentTransfer transfer);
  void HandOver(const UpstreamId& id, Upstream& upstream, const EntryId& to);
  void DropOwnership(const UpstreamId& id, Upstream& upstream);
  void DropIfTakenOver(const UpstreamId& id, Upstream& upstream);
  bool IsRecorded(const Upstream& upstream) const;
  void RemoveUnlisted();
  void Remove(const UpstreamId& id, const Upstream& upstream);
  void EmitChange(EventKind kind, const UpstreamId& id, const Upstream& upstream);

  Context& m_context;
  TableClient& m_table;
  Membership& m_membership;
  Hooks m_hooks;
  std::map<UpstreamId, Upstream> m_upstreams;
  Time m_next_handover;
  std::int64_t m_handovers = 0;
  int m_pending_handovers = 0;
  bool m_rows_read = false;
};

}  // namespace jaymast
