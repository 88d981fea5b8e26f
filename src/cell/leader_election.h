#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/time.h"
#include "cell/leader_fitness.h"
#include "cell/leader_record.h"
#include "cell/state_store.h"

namespace jaymast {

/// Elects this instance as the leader when the present leader is gone.
///
/// The leader rewrites the leader row with each transaction. An instance takes over when it has read the row twice,
/// `kElectionTimeout` apart, with the same version, or when the leader has handed over. The conditional write lets
/// only one instance win. The new epoch fences the upstreams, so no lease of the old leader has to expire first.
class LeaderElection {
 public:
  /// Called after this instance has won, with the record and version of the leader row.
  using ElectedCallback = std::function<void(const LeaderRecord&, std::int64_t version)>;

  /// @param address peer address of this instance
  /// @param rank staggers the attempts of the instances
  /// @param leader_class instances of a lower class than the fittest one wait longer before they campaign
  LeaderElection(StateStore& store, std::string address, std::uint64_t rank, LeaderClass leader_class,
                 ElectedCallback on_elected);

  void OnTick(Time now);

  /// The leader has reported its last transaction over a peer connection.
  /// @param version of the leader row
  void OnLeaderProgress(const LeaderRecord& record, std::int64_t version, Time now);

  /// The address of the leader refuses connections, so a shorter timeout is enough.
  void OnLeaderConnectionRefused(Time now);

  /// Class of the fittest instance that can take over, as reported by the leader. Until a report, a fit one is assumed.
  void SetFittestClass(LeaderClass fittest) { m_fittest_class = fittest; }

  /// Reads the row at the next tick; for use when a handover was reported.
  void RequestRead();

  /// This instance is not the leader any more.
  void OnDeposed(Time now);

  /// This instance does not campaign until then.
  void WithholdUntil(Time until) { m_withheld_until = until; }

  /// This instance does not take over any more.
  void Retire() { m_is_retired = true; }

  /// Last known address of the leader, empty if unknown or after a handover.
  const std::string& leader_address() const { return m_leader.address; }
  std::uint64_t leader_epoch() const { return m_leader.epoch; }
  /// Named successor in whose place this instance has campaigned last, or empty.
  const std::string& passed_over_successor() const { return m_passed_over_successor; }

  /// The row must be unchanged for this time; three times the idle commit interval of the leader.
  static constexpr Duration kElectionTimeout{750'000};
  /// Timeout when the address of the leader refuses connections; above the idle commit interval of the leader.
  static constexpr Duration kRefusedElectionTimeout{350'000};
  /// Progress reported over the peer connections makes reading the row unnecessary for this time.
  static constexpr Duration kProgressTimeout{500'000};

 private:
  void Read(Time now);
  void OnRow(Time sent_at, const StateScanReply& reply);
  void Campaign();
  /// Time that instances of a higher class have to campaign before this one.
  Duration ClassDelay() const;

  StateStore& m_store;
  const std::string m_address;
  const Duration m_rank_delay;  ///< added to the election timeout
  const LeaderClass m_class;
  LeaderClass m_fittest_class = LeaderClass::kFit;
  const ElectedCallback m_on_elected;
  bool m_is_leader = false;
  bool m_is_retired = false;
  bool m_is_reading = false;
  bool m_is_campaigning = false;
  LeaderRecord m_leader;
  std::string m_passed_over_successor;
  std::optional<std::int64_t> m_version;  ///< of the row as last read; 0 when absent
  Time m_version_seen_at{};               ///< when the row was first read with this version
  Time m_progress_at{};
  bool m_is_connection_refused = false;  ///< the address of the leader refuses connections
  Time m_next_read{};
  Time m_withheld_until{};
  Time m_now{};
};

}  // namespace jaymast
