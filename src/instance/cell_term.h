#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "cell/cell_feeds.h"
#include "cell/group_committer.h"
#include "cell/readiness_bound.h"
#include "cell/scheduler.h"
#include "cell/state_store.h"
#include "instance/table_reader.h"

namespace jaymast {

/// Runs the scheduler for one term as leader, after loading the recorded jobs from the store.
class CellTerm : public FeedListener {
 public:
  using MakeFeeds = std::function<std::unique_ptr<CellFeeds>(FeedListener&)>;

  /// @param on_deposed called when another instance has taken over
  CellTerm(StateStore& store, Scheduler::Ports ports, const LeaderRecord& record, std::int64_t version, Time now,
           const MakeFeeds& make_feeds, std::function<void()> request_tick, const std::function<void()>& on_deposed);

  /// Sets the time at which the calls that follow are decided.
  void SetNow(Time now) { m_scheduler.SetNow(now); }
  void OnTick(Time now, std::int64_t unix_now_ms);
  void OnClientCall(const ClientCall& call, const ClientReplyFunction& reply);
  void SetPolicyCallers(const std::vector<std::string>& addresses) { m_scheduler.SetPolicyCallers(addresses); }
  /// Ends the term once everything accepted so far is committed.
  void HandOver(const std::string& successor) { m_committer.HandOver(successor); }
  /// Ends the term because it has not become ready in time, and counts it in the leader row.
  void HandOverUnready(const std::string& successor);

  /// Ignores all replies that are still outstanding.
  void Retire() { m_scheduler.Retire(); }

  const GroupCommitter& committer() const { return m_committer; }
  const Scheduler& scheduler() const { return m_scheduler; }
  /// Whether the jobs, the configuration and the upstream list are loaded, so that calls can be handled.
  bool is_loaded() const { return m_is_loaded; }
  /// Whether the term should have been ready by now although the store replied.
  bool is_overdue() const { return !m_is_loaded && m_readiness_bound.is_exceeded(); }

  // FeedListener
  void OnConfig(std::shared_ptr<const CellConfig> config) override;
  void OnTopicCurrent(FeedTopic topic, Time as_of) override { m_scheduler.OnTopicCurrent(topic, as_of); }
  void OnDomainsOutOfService(std::set<DomainId> domains) override {
    m_scheduler.OnDomainsOutOfService(std::move(domains));
  }
  void OnUpstreamListed(UpstreamListing listing) override { m_scheduler.OnUpstreamListed(std::move(listing)); }
  void OnUpstreamUnlisted(const UpstreamId& id) override { m_scheduler.OnUpstreamUnlisted(id); }
  void OnUpstreamListComplete(const std::set<UpstreamId>& listed) override;

 private:
  /// Latest records of a job in the rows read so far.
  struct LoadedJob {
    RecordKind kind = RecordKind::kJob;  ///< kind of `job`
    RecordText job;
    RecordText progress;
    std::map<std::size_t, RecordText> occurrences;
  };

  void OnRecords(const StateScanReply& page);
  /// Applies the rows of early cancels once all are read. Their remaining time counts from a tick after the read.
  void LoadEarlyCancels();
  void LoadLeaseBounds();
  void OnLeaseBounds(const StateScanReply& reply);
  /// Reads the speeds that the earlier leader has learned. Nothing waits for them.
  void LoadSpeeds();
  void OnSpeeds(const StateScanReply& reply);
  void OnRow(const StateRow& row);
  void AddJob(const JobId& id, const LoadedJob& loaded, std::int64_t store_now_ms);
  /// Applies the progress and occurrence records. Emits an event and returns false if one is unreadable.
  bool ApplyProgress(const LoadedJob& loaded, Job& job);
  void FinishJobs(std::int64_t store_now_ms);
  void CheckLoaded();
  /// Emits an event when the store stops responding and when it responds again.
  void ReportStoreStall();

  StateStore& m_store;
  CellEventSink& m_events;
  const std::function<void()> m_request_tick;
  const Time m_began_at;
  Time m_now;
  Scheduler m_scheduler;
  GroupCommitter m_committer;
  ReadinessBound m_readiness_bound;
  std::unique_ptr<CellFeeds> m_feeds;
  TableReader m_record_reader;
  TableReader m_cancel_reader;
  std::vector<StateRow> m_cancel_rows;    ///< read and not applied yet
  std::int64_t m_cancels_read_at_ms = 0;  ///< store clock
  bool m_are_cancels_loaded = false;
  std::map<JobId, LoadedJob> m_loaded_jobs;
  Time m_next_lease_load_at{};
  bool m_is_reading_leases = false;
  int m_speed_reads_left = 3;
  bool m_is_reading_speeds = false;
  Time m_next_speed_load_at{};
  /// Read but not applied yet: their remaining time counts from a tick after the read.
  std::optional<LeaseBounds> m_read_lease_bounds;
  std::int64_t m_leases_read_at_ms = 0;  ///< store clock
  bool m_are_leases_loaded = false;
  bool m_has_config = false;
  bool m_has_upstream_list = false;
  bool m_is_loaded = false;
  bool m_is_store_stalled = false;
};

}  // namespace jaymast
