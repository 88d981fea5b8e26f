#include "instance/cell_term.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "cell/lease_record.h"
#include "cell/speed_record.h"
#include "jobs/job_record.h"

namespace jaymast {
namespace {

constexpr Duration kLoadRetryDelay{50'000};
/// Delay after an unsuccessful read of the learned speeds, which nothing waits for.
constexpr Duration kSpeedLoadRetryDelay{1'000'000};
/// If the store has not responded for this time, another instance may be about to take over.
constexpr Duration kStoreStallThreshold{350'000};
/// In a longer store outage new jobs are refused at once: with a working store another instance would have taken over.
constexpr Duration kStoreOutageThreshold{1'300'000};

}  // namespace

CellTerm::CellTerm(StateStore& store, Scheduler::Ports ports, const LeaderRecord& record, std::int64_t version,
                   Time now, const MakeFeeds& make_feeds, std::function<void()> request_tick,
                   const std::function<void()>& on_deposed)
    : m_store(store),
      m_events(ports.events),
      m_request_tick(std::move(request_tick)),
      m_began_at(now),
      m_now(now),
      m_scheduler(
          std::move(ports), record.epoch, now,
          [this] {
            m_committer.MarkDirty();
            m_request_tick();
          },
          on_deposed),
      m_committer(
          store, record, version, [this] { return m_is_loaded ? m_scheduler.CollectBatch() : CommitBatch{}; },
          on_deposed, m_request_tick),
      m_readiness_bound(record.unready_terms, now),
      m_feeds(make_feeds(*this)),
      m_record_reader(store, m_events, kRecordTable,
                      {[this](const StateScanReply& page) { OnRecords(page); },
                       [this](std::int64_t store_now_ms) { FinishJobs(store_now_ms); }, m_request_tick}),
      m_cancel_reader(store, m_events, kEarlyCancelTable,
                      {[this](const StateScanReply& page) {
                         m_cancel_rows.insert(m_cancel_rows.end(), page.rows.begin(), page.rows.end());
                       },
                       [this](std::int64_t store_now_ms) {
                         m_cancels_read_at_ms = store_now_ms;
                         m_request_tick();
                       },
                       m_request_tick}) {}

void CellTerm::OnTick(Time now, std::int64_t unix_now_ms) {
  m_now = now;
  m_scheduler.SetNow(now);
  m_committer.OnTick(now);
  const bool is_store_out = m_committer.IsStalled(now, kStoreOutageThreshold);
  m_record_reader.OnTick(now, is_store_out);
  m_cancel_reader.OnTick(now, is_store_out);
  if (m_cancel_reader.is_complete() && !m_are_cancels_loaded) LoadEarlyCancels();
  if (m_read_lease_bounds) {
    m_scheduler.LoadLeaseBounds(*std::exchange(m_read_lease_bounds, std::nullopt), m_leases_read_at_ms);
    m_are_leases_loaded = true;
    CheckLoaded();
  }
  if (!m_are_leases_loaded && !m_is_reading_leases && now >= m_next_lease_load_at) LoadLeaseBounds();
  if (m_speed_reads_left > 0 && !m_is_reading_speeds && now >= m_next_speed_load_at) LoadSpeeds();
  m_feeds->OnTick(now);
  m_scheduler.SetLeadershipStatus({m_committer.confirmed_at(), m_committer.IsStalled(now, kStoreStallThreshold),
                                   m_committer.IsStalled(now, kStoreOutageThreshold), m_committer.store_now_ms(now),
                                   m_committer.max_store_now_ms(now), unix_now_ms});
  ReportStoreStall();
  if (!m_is_loaded) return m_readiness_bound.OnTick(now, m_committer.IsStalled(now, Duration::zero()));
  m_scheduler.OnTick(now);
  m_committer.OnTick(now);
}

void CellTerm::ReportStoreStall() {
  const bool is_stalled = m_committer.IsStalled(m_now, kStoreStallThreshold);
  if (is_stalled == m_is_store_stalled) return;
  m_is_store_stalled = is_stalled;
  const std::string unconfirmed_ms = std::to_string(ToMillis(m_now - m_committer.confirmed_at()));
  m_events.Emit(is_stalled ? "store.lost" : "store.regained", {{"unconfirmed_ms", unconfirmed_ms}});
}

void CellTerm::OnClientCall(const ClientCall& call, const ClientReplyFunction& reply) {
  if (!m_is_loaded) return reply({ClientOutcome::kNotLeader});
  m_scheduler.OnClientCall(call, reply);
}

void CellTerm::HandOverUnready(const std::string& successor) {
  m_events.Emit("term.not_ready", {{"epoch", std::to_string(m_committer.epoch())},
                                   {"bound_ms", std::to_string(ToMillis(m_readiness_bound.bound()))},
                                   {"rows", std::to_string(m_record_reader.rows())},
                                   {"bytes", std::to_string(m_record_reader.bytes())},
                                   {"successor", successor}});
  m_committer.SetUnreadyTerms(m_committer.unready_terms() + 1);
  m_committer.HandOver(successor);
}

void CellTerm::OnConfig(std::shared_ptr<const CellConfig> config) {
  m_scheduler.OnConfig(std::move(config));
  m_has_config = true;
  CheckLoaded();
}

void CellTerm::OnUpstreamListComplete(const std::set<UpstreamId>& listed) {
  m_scheduler.OnUpstreamListComplete(listed);
  m_has_upstream_list = true;
  CheckLoaded();
}

void CellTerm::OnRecords(const StateScanReply& page) {
  if (!page.rows.empty()) m_readiness_bound.OnProgress();
  for (const StateRow& row : page.rows) OnRow(row);
}

void CellTerm::LoadEarlyCancels() {
  for (const StateRow& row : m_cancel_rows) m_scheduler.LoadEarlyCancels(row, m_cancels_read_at_ms);
  m_cancel_rows.clear();
  m_are_cancels_loaded = true;
  CheckLoaded();
}

void CellTerm::LoadLeaseBounds() {
  m_is_reading_leases = true;
  const std::string key = kLeaseKey;
  m_store.Scan(kLeaderTable, key, key + '\x01', {1, PageSizer::kMinTimeout},
               [this](const StateScanReply& reply) { OnLeaseBounds(reply); });
}

void CellTerm::OnLeaseBounds(const StateScanReply& reply) {
  m_is_reading_leases = false;
  if (!reply.is_available) {
    m_next_lease_load_at = m_now + kLoadRetryDelay;
    return;
  }
  m_read_lease_bounds.emplace();
  m_leases_read_at_ms = reply.now_ms;
  if (!reply.rows.empty()) {
    const StateRow& row = reply.rows.front();
    std::optional<LeaseBounds> bounds = DecodeLeaseBounds(row.value);
    if (!bounds) m_events.Emit("record.unreadable", {{"path", row.table + "/" + row.key}});
    m_read_lease_bounds = std::move(bounds).value_or(LeaseBounds{});
  }
  m_request_tick();
}

void CellTerm::LoadSpeeds() {
  m_is_reading_speeds = true;
  --m_speed_reads_left;
  const std::string key = kSpeedsKey;
  m_store.Scan(kLeaderTable, key, key + '\x01', {1, PageSizer::kMinTimeout},
               [this](const StateScanReply& reply) { OnSpeeds(reply); });
}

void CellTerm::OnSpeeds(const StateScanReply& reply) {
  m_is_reading_speeds = false;
  if (!reply.is_available) {
    m_next_speed_load_at = m_now + kSpeedLoadRetryDelay;
    return;
  }
  m_speed_reads_left = 0;
  if (reply.rows.empty()) return;
  const StateRow& row = reply.rows.front();
  const std::optional<std::vector<LearnedSlowness>> speeds = DecodeSpeeds(row.value);
  if (!speeds) return m_events.Emit("record.unreadable", {{"path", row.table + "/" + row.key}});
  m_scheduler.LoadSpeeds(*speeds);
}

void CellTerm::OnRow(const StateRow& row) {
  std::optional<std::vector<LogRecord>> records = DecodeLogRow(row.value);
  if (!records) return m_events.Emit("record.unreadable", {{"path", row.table + "/" + row.key}});
  m_scheduler.LoadRow(row, *records);
  for (const LogRecord& record : *records) {
    LoadedJob& loaded = m_loaded_jobs[record.job];
    switch (record.name.kind) {
      case RecordKind::kProgress:
        loaded.progress.Add(record.piece, record.text);
        break;
      case RecordKind::kOccurrence:
        loaded.occurrences[record.name.occurrence].Add(record.piece, record.text);
        break;
      case RecordKind::kJob:
      case RecordKind::kFinal:
      case RecordKind::kTombstone:
        loaded.kind = record.name.kind;
        loaded.job.Add(record.piece, record.text);
        if (loaded.kind == RecordKind::kJob) break;
        // The ID of an ended job may be used again, for a job without progress yet.
        loaded.progress = {};
        loaded.occurrences.clear();
        break;
    }
  }
}

void CellTerm::AddJob(const JobId& id, const LoadedJob& loaded, std::int64_t store_now_ms) {
  if (loaded.kind == RecordKind::kTombstone) return;
  Result<Job> job = DecodeJobRecord(id, loaded.job.text);
  if (!job) return m_events.Emit("record.unreadable", {{"path", job.error().path}, {"reason", job.error().reason}});
  const bool has_progress = loaded.kind == RecordKind::kJob && !loaded.progress.text.empty();
  if (has_progress && !ApplyProgress(loaded, *job)) return;
  const std::int64_t age_ms = std::max<std::int64_t>(0, store_now_ms - job->recorded_at_ms);
  m_scheduler.LoadJob(std::move(*job), age_ms);
}

bool CellTerm::ApplyProgress(const LoadedJob& loaded, Job& job) {
  if (!ApplyProgressRecord(loaded.progress.text, job)) {
    m_events.Emit("record.unreadable", {{"path", "progress of " + job.id.value()}});
    return false;
  }
  for (const auto& [number, record] : loaded.occurrences) {
    // Records of occurrences that have ended remain until their rows are removed.
    if (!job.occurrences.contains(number) || ApplyOccurrenceRecord(record.text, job, number)) continue;
    m_events.Emit("record.unreadable", {{"path", fmt::format("occurrence {} of {}", number, job.id.value())}});
    return false;
  }
  return true;
}

void CellTerm::FinishJobs(std::int64_t store_now_ms) {
  for (const auto& [id, loaded] : m_loaded_jobs) AddJob(id, loaded, store_now_ms);
  m_events.Emit("term.jobs_loaded", {{"jobs", std::to_string(m_loaded_jobs.size())},
                                     {"rows", std::to_string(m_record_reader.rows())},
                                     {"bytes", std::to_string(m_record_reader.bytes())},
                                     {"took_ms", std::to_string(ToMillis(m_now - m_began_at))}});
  m_loaded_jobs.clear();
  m_scheduler.FinishLoading();
  CheckLoaded();
}

void CellTerm::CheckLoaded() {
  const bool is_all_read = m_record_reader.is_complete() && m_are_cancels_loaded && m_are_leases_loaded &&
                           m_has_config && m_has_upstream_list;
  if (m_is_loaded || !is_all_read) return;
  m_is_loaded = true;
  m_committer.SetUnreadyTerms(0);
  m_committer.MarkDirty();
  m_events.Emit("term.ready", {{"epoch", std::to_string(m_committer.epoch())}});
  m_request_tick();
}

}  // namespace jaymast
