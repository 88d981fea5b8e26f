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

/// Another entry, as last read from its lease record and its heartbeats.
struct Peer {
  EntryRecord record;
  std::int64_t version = 0;    ///< version of the row of the record
  Time expires_at;             ///< earliest time to expire the record if it stays unchanged
  bool is_expiring = false;    ///< a transaction that expires the record is pending
  Time heartbeat_valid_until;  ///< when the last heartbeat stops counting
  Summary summary;
};

/// The candidate with the highest rendezvous hash for a key, or an empty id when there is no candidate.
EntryId PreferredEntry(const std::string& key, const std::vector<EntryId>& candidates);

/// Renews the lease of this entry and tracks, and expires, the lease records of the others.
class Membership {
 public:
  struct Hooks {
    std::function<void()> on_lease_lost;    ///< the lease record was deleted: restart with a new id
    std::function<void()> on_peer_expired;  ///< this entry expired a peer and adopts its tasks
    std::function<void(EntryState)> on_state;
  };

  Membership(Context& context, TableClient& table, Hooks hooks);

  void Start();

  /// Renews the lease record at once, for example to acknowledge a configuration.
  void Renew();

  /// Applies all lease records whose key begins with `prefix`.
  /// @return whether a peer was added, removed or changed its state
  bool OnRows(const std::string& prefix, const std::vector<Row>& rows);

  /// Notes that the records could not be read. Peers could not renew them either, so the next read restarts their
  /// expiry times.
  void OnReadFailed() { m_read_failed = true; }

  void OnSummary(const EntryId& from, const Summary& summary);

  /// Expires the peers whose record has stayed unchanged past its lease.
  void ExpirePeers();

  /// Sets the configuration version that further renewals acknowledge.
  void AcknowledgeConfig(std::int64_t version) { m_config_version = version; }

  void Handle(LifecycleEvent event) { m_lifecycle.Handle(event); }

  /// Deletes the lease record and names a successor for the tasks whose home is this entry.
  /// @param done runs once, also when the transaction did not commit
  void Leave(std::function<void()> done);

  /// Condition that holds while this entry is a member, that is, no other entry has taken over its tasks.
  Condition MembershipCondition() const;

  EntryState state() const { return m_lifecycle.state(); }
  bool IsJoined() const { return m_record_version != 0; }
  bool IsLeaseValid() const;
  bool IsLeaving() const { return m_leaving; }

  /// Whether this entry may start tasks now: its lease is valid, or the store is known to be unreachable.
  bool MayStart() const;

  const std::map<EntryId, Peer>& peers() const { return m_peers; }

  /// Whether an entry has a lease record, as far as this entry knows.
  bool HasLeaseRecord(const EntryId& id) const;

  /// Whether a heartbeat of the peer arrived within the setting `peer_silence`; true for this entry.
  bool HasRecentHeartbeat(const EntryId& id) const;

  /// Entries of the own failure domain that can own upstreams, including this one.
  std::vector<EntryId> OwnerCandidates() const;

 private:
  void ScheduleRenewal();
  void OnRenewed(Time sent_at, bool committed, std::int64_t version);
  void OnRenewalFailed();
  bool IsExpiryDue(const EntryId& id, const Peer& peer) const;
  Duration ExpiryDelay(const EntryId& id, const Peer& peer) const;
  void Expire(const EntryId& id, std::int64_t version);
  bool RemoveAbsentPeers(const std::string& prefix, const std::vector<Row>& rows);
  /// The peer that adopts the tasks of this entry, or an empty id when no peer serves.
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
  Time m_store_unavailable_until;     ///< until then the last failed renewal proves that the store is unreachable
  std::uint64_t m_renewal_timer = 0;  ///< number of the only timer that may start a renewal
  bool m_read_failed = false;
  bool m_renewing = false;
  bool m_renew_again = false;
  bool m_leaving = false;
};

}  // namespace jaymast
