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

/// An upstream that this entry has just fenced.
struct AcquiredUpstream {
  UpstreamInfo info;
  std::int64_t epoch = 0;
  std::int64_t reset_epoch = 0;
  bool is_committed = false;             ///< the owner row names this entry
  const UpstreamReply* reply = nullptr;  ///< the runner's report, valid during the call only
};

/// Conditions and writes that move the allotments of an upstream's tasks to this entry.
struct AllotmentTransfer {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

/// Decides which upstreams of the failure domain this entry owns, and keeps the epochs.
class Ownership {
 public:
  struct Hooks {
    /// The upstream may be used from now on.
    std::function<void(const AcquiredUpstream&)> on_acquired;
    /// The upstream belongs to somebody else now.
    std::function<void(const UpstreamId&)> on_ownership_lost;
    /// The allotments for the tasks on an upstream that was lost are covered by its new owner.
    std::function<void(const UpstreamId&)> on_allotments_transferred;
    /// Prepares the move of the allotments from `from`. The callback does not run when the store cannot be read.
    std::function<void(const UpstreamId&, const EntryId& from, std::function<void(AllotmentTransfer)>)>
        prepare_allotment_transfer;
    /// The owner row of an acquired upstream was committed, and with it the move of the allotments.
    std::function<void(const UpstreamId&)> on_committed;
    /// The leases of all tasks on the upstream have surely lapsed.
    std::function<void(const UpstreamId&)> on_leases_expired;
    /// The owner row of a handed over upstream was committed.
    std::function<void()> on_handed_over;
    /// The upstream left the list for good.
    std::function<void(const UpstreamId&)> on_removed;
  };

  Ownership(Context& context, TableClient& table, Membership& membership, Hooks hooks);

  void OnInstances(const InstanceList& list);

  /// Takes in the rows of a read of the prefix of the own failure domain.
  void OnRows(const std::vector<Row>& rows);

  /// Claims, fences and hands over what is due.
  void Reconcile();

  /// A runner refused a request of this entry: another owner has fenced it, or it restarted.
  void OnRefused(const UpstreamId& id, const FencingToken& current);

  /// The runner has not answered for longer than a task lease. Raises the epoch in the table, which proves that nobody
  /// else renewed the leases meanwhile, and then reports the lapse.
  void ExpireTaskLeases(const UpstreamId& id);

  /// Hands all upstreams over for a planned stop.
  void HandOverAll();

  std::size_t OwnedCount() const;

  /// Upstreams handed over to other entries so far.
  std::int64_t handovers() const { return m_handovers; }

  /// Whether every row that names this entry has been fenced, so that its capacity is known.
  bool HasFencedOwnUpstreams() const;

  /// Whether releases are still being committed.
  bool IsHandingOver() const { return m_open_releases > 0; }

  /// Whether every listed upstream is owned by an entry with a lease record which has fenced it and counted its tasks.
  /// An entry without a record can then start nothing in this failure domain.
  bool IsEveryUpstreamFenced() const;

  /// Owner according to the table, for upstreams of the own failure domain.
  std::optional<EntryId> FindOwner(const UpstreamId& id) const;

 private:
  enum class Phase { kNone, kClaiming, kFencing, kOwned, kReleasing };

  struct Upstream {
    UpstreamInfo info;
    bool is_listed = false;
    Time unlisted_until;  ///< when an upstream that left the list is forgotten
    OwnerRecord row;
    std::int64_t row_version = 0;
    Phase phase = Phase::kNone;
    std::int64_t epoch = 0;
    std::int64_t reset_epoch = 0;
    std::int64_t seen_epoch = 0;  ///< highest epoch that the runner reported
    bool is_committed = false;    ///< the row names this entry at `epoch`
    bool is_writing = false;      ///< a write of the fenced row is open
    bool is_lapsing = false;      ///< the claim in flight proves a lapse
    bool is_probing = false;      ///< a fence call is open
    Time next_try;                ///< earliest time of the next claim or fence
    Time next_write;              ///< earliest time to record the fence again
    Time prefer_other_at;         ///< when a better-ranked owner is given the upstream; zero when there is none
  };

  void EvaluateUnowned(const UpstreamId& id, Upstream& upstream);
  void EvaluateOwned(const UpstreamId& id, Upstream& upstream);
  bool IsOwnerGone(const Upstream& upstream) const;
  EntryId PreferredOwner(const UpstreamId& id) const;
  void Claim(const UpstreamId& id, Upstream& upstream);
  void OnClaimed(const UpstreamId& id, std::int64_t epoch, bool committed, std::int64_t version);
  void Fence(const UpstreamId& id, Upstream& upstream);
  void OnFenced(const UpstreamId& id, std::int64_t epoch, const UpstreamReply& reply);
  void Acquire(const UpstreamId& id, Upstream& upstream, const UpstreamReply& reply);
  void CommitFenced(const UpstreamId& id);
  void CommitCover(const UpstreamId& id, std::int64_t epoch, AllotmentTransfer change);
  void HandOver(const UpstreamId& id, Upstream& upstream, const EntryId& to);
  void Lose(const UpstreamId& id, Upstream& upstream);
  void OnOwnRowChanged(const UpstreamId& id, Upstream& upstream);
  bool IsRecorded(const Upstream& upstream) const;
  void ForgetUnlisted();
  void Forget(const UpstreamId& id, const Upstream& upstream);
  void EmitChange(EventKind kind, const UpstreamId& id, const Upstream& upstream);

  Context& m_context;
  TableClient& m_table;
  Membership& m_membership;
  Hooks m_hooks;
  std::map<UpstreamId, Upstream> m_upstreams;
  Time m_next_handover;
  std::int64_t m_handovers = 0;
  int m_open_releases = 0;
  bool m_rows_read = false;
};

}  // namespace jaymast
