#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "core/context.h"
#include "core/peer_message.h"
#include "core/table.h"
#include "membership/entry_record.h"
#include "membership/lifecycle.h"

namespace jaymast {

class TableClient;

/// What this entry knows of another entry.
struct Peer {
  EntryRecord record;
  std::int64_t version = 0;
  Time expires_at;             ///< earliest time at which the record may be expired, if it stays unchanged
  bool is_expiring = false;    ///< a transaction that expires the record is open
  Time heartbeat_valid_until;  ///< end of the time for which the last heartbeat counts
  Summary summary;
};

/// The entry that rendezvous hashing prefers for a key, or an empty id when there is no candidate.
EntryId PreferredEntry(const std::string& key, const std::vector<EntryId>& candidates);

/// The lease of this entry and the records of the others.
class Membership {
 public:
  struct Hooks {
    std::function<void()> on_lease_lost;    ///< the record is gone: start over with a new id
    std::function<void()> on_peer_expired;  ///< this entry expired a peer and adopts its tasks
    std::function<void(EntryState)> on_state;
  };

  Membership(Context& context, TableClient& table, Hooks hooks);

  void Start();

  /// Renews the lease record at once, for example to acknowledge a configuration.
  void Renew();

  /// Takes in the rows of a read of all records whose key begins with `prefix`.
  /// @return whether a peer came or went
  bool OnRows(const std::string& prefix, const std::vector<Row>& rows);

  /// The records could not be read. Peers could not renew them either, so their time counts anew from the next read.
  void OnReadFailed() { m_read_failed = true; }

  void OnSummary(const EntryId& from, const Summary& summary);

  /// Expires the peers whose record has stayed unchanged for long enough.
  void ExpirePeers();

  /// Sets the configuration version that the next renewals acknowledge.
  void AcknowledgeConfig(std::int64_t version) { m_config_version = version; }

  void Handle(LifecycleEvent event) { m_lifecycle.Handle(event); }

  /// Deletes the lease record and names a successor for the tasks whose home is this entry. `done` runs once that is
  /// committed or the store cannot be reached.
  void Leave(std::function<void()> done);

  /// Holds as long as this entry is a member: no other entry has taken over its tasks.
  Condition MembershipCondition() const;

  EntryState state() const { return m_lifecycle.state(); }
  bool IsJoined() const { return m_record_version != 0; }
  bool IsLeaseValid() const;
  bool IsLeaving() const { return m_leaving; }

  /// Whether this entry may start work now: its lease is valid, or the store is known to be unreachable.
  bool MayStart() const;

  const std::map<EntryId, Peer>& peers() const { return m_peers; }

  /// Whether an entry has a lease record, as far as known.
  bool HasLeaseRecord(const EntryId& id) const;

  /// Whether a peer's heartbeats arrive.
  bool HasRecentHeartbeat(const EntryId& id) const;

  /// This entry and the peers of its failure domain that can own upstreams.
  std::vector<EntryId> OwnerCandidates() const;

 private:
  void ScheduleRenewal();
  void OnRenewed(Time sent_at, bool committed, std::int64_t version);
  void OnRenewalLost();
  bool IsExpiryDue(const EntryId& id, const Peer& peer) const;
  Duration ExpiryDelay(const EntryId& id, const Peer& peer) const;
  void Expire(const EntryId& id, std::int64_t version);
  bool RemoveAbsentPeers(const std::string& prefix, const std::vector<Row>& rows);
  EntryId Successor() const;

  Context& m_context;
  TableClient& m_table;
  Hooks m_hooks;
  Lifecycle m_lifecycle;
  std::map<EntryId, Peer> m_peers;
  std::int64_t m_record_version = 0;
  std::int64_t m_home_version = 0;
  std::int64_t m_renewals = 0;
  std::int64_t m_config_version = 0;
  Time m_lease_deadline;
  Time m_store_lost_until;            ///< until then a failed renewal proves that the store is unreachable
  std::uint64_t m_renewal_timer = 0;  ///< number of the timer that may start the next renewal
  bool m_read_failed = false;
  bool m_renewing = false;
  bool m_renew_again = false;
  bool m_leaving = false;
};

}  // namespace jaymast
