#include "placement/failure_attribution.h"

#include <algorithm>
#include <set>

#include "base/hash.h"

namespace jaymast {
namespace {

/// Odd multiplier that makes the combined hash depend on the order of team and kind.
constexpr std::uint64_t kTeamHashMultiplier = 0x9e3779b97f4a7c15;

std::uint64_t KindHash(const TaskSpec& spec) {
  return StableHash(spec.team.value()) * kTeamHashMultiplier + StableHash(spec.kind);
}

}  // namespace

void FailureAttribution::OnResult(const UpstreamId& upstream, const TaskSpec& spec, bool succeeded, Time now) {
  const Hash job = StableHash(spec.id.value());
  const Hash kind = KindHash(spec);
  RecordKindResult(kind, StableHash(upstream.value()), succeeded);
  RecordUpstreamResult(m_histories[upstream], {job, kind, succeeded}, now);
  if (succeeded) {
    OnJobSucceeded(job, now);
    return;
  }
  OnJobFailed(job, upstream);
  EvaluateUpstream(upstream, now);
}

void FailureAttribution::OnStart(const UpstreamId& upstream, Time now) {
  const auto known = m_histories.find(upstream);
  if (known == m_histories.end()) return;
  UpstreamHistory& history = known->second;
  if (history.quarantined_until && *history.quarantined_until <= now) history.probe_until = now + kProbeTimeout;
}

bool FailureAttribution::MayStart(const UpstreamId& upstream, Time now) const {
  const auto known = m_histories.find(upstream);
  if (known == m_histories.end() || !known->second.quarantined_until) return true;
  const UpstreamHistory& history = known->second;
  if (now < *history.quarantined_until) return false;
  return !history.probe_until || *history.probe_until <= now;
}

std::optional<Time> FailureAttribution::QuarantinedUntil(const UpstreamId& upstream) const {
  const auto known = m_histories.find(upstream);
  return known == m_histories.end() ? std::nullopt : known->second.quarantined_until;
}

bool FailureAttribution::IsFaultyJob(const TaskId& task) const {
  const auto known = m_jobs.find(StableHash(task.value()));
  return known != m_jobs.end() && known->second.is_faulty;
}

std::size_t FailureAttribution::MemoryBytes() const {
  constexpr std::size_t kHashNodeBytes = 24;
  constexpr std::size_t kDequeBlockBytes = 512 + 64;  // first block of a deque and its block table
  std::size_t bytes = sizeof(*this) + (m_jobs_by_age.size() + m_kinds_by_age.size()) * sizeof(Hash);
  bytes += m_histories.size() * (sizeof(UpstreamId) + sizeof(UpstreamHistory) + kHashNodeBytes + kDequeBlockBytes);
  bytes += m_kinds.size() * (sizeof(Kind) + kHashNodeBytes + kDequeBlockBytes);
  for (const auto& [hash, job] : m_jobs) {
    bytes += sizeof(Job) + kHashNodeBytes + job.failed_on.capacity() * sizeof(UpstreamId);
  }
  return bytes;
}

void FailureAttribution::RecordUpstreamResult(UpstreamHistory& history, const UpstreamResult& result, Time now) {
  const bool was_probe = history.probe_until.has_value();
  if (history.quarantined_until && !was_probe) return;  // the task started before the quarantine
  history.probe_until.reset();
  if (history.quarantined_until && !result.succeeded) {
    Quarantine(history, now);
    return;
  }
  history.quarantined_until.reset();
  history.results.push_back(result);
  if (history.results.size() > kUpstreamWindow) history.results.pop_front();
  const auto succeeded = [](const UpstreamResult& past) { return past.succeeded; };
  const bool full = history.results.size() == kUpstreamWindow;
  if (full && std::all_of(history.results.begin(), history.results.end(), succeeded)) history.quarantine_count = 0;
}

void FailureAttribution::RecordKindResult(Hash kind, Hash upstream, bool succeeded) {
  const auto [known, is_new] = m_kinds.try_emplace(kind);
  std::deque<KindResult>& results = known->second.results;
  results.push_back({upstream, succeeded});
  if (results.size() > kKindWindow) results.pop_front();
  if (!is_new) return;
  m_kinds_by_age.push_back(kind);
  if (m_kinds_by_age.size() <= kMaxKinds) return;
  m_kinds.erase(m_kinds_by_age.front());
  m_kinds_by_age.pop_front();
}

void FailureAttribution::OnJobSucceeded(Hash job, Time now) {
  const auto known = m_jobs.find(job);
  if (known == m_jobs.end()) return;
  known->second.succeeded = true;
  const std::vector<UpstreamId> failed_on = known->second.failed_on;
  for (const UpstreamId& upstream : failed_on) EvaluateUpstream(upstream, now);
}

void FailureAttribution::OnJobFailed(Hash job, const UpstreamId& upstream) {
  const auto [known, is_new] = m_jobs.try_emplace(job);
  if (is_new) {
    m_jobs_by_age.push_back(job);
    if (m_jobs_by_age.size() > kMaxJobs) {
      m_jobs.erase(m_jobs_by_age.front());
      m_jobs_by_age.pop_front();
    }
  }
  Job& failed = known->second;
  const bool seen = std::find(failed.failed_on.begin(), failed.failed_on.end(), upstream) != failed.failed_on.end();
  if (!seen) failed.failed_on.push_back(upstream);
  const auto is_reliable = [&](const UpstreamId& id) { return IsReliable(id, job); };
  const auto reliable_upstreams = std::count_if(failed.failed_on.begin(), failed.failed_on.end(), is_reliable);
  const bool failed_on_reliable = static_cast<std::size_t>(reliable_upstreams) >= kReliableUpstreamsForFaultyJob;
  failed.is_faulty = !failed.succeeded && (failed_on_reliable || failed.failed_on.size() >= kUpstreamsForFaultyJob);
}

void FailureAttribution::EvaluateUpstream(const UpstreamId& upstream, Time now) {
  const auto known = m_histories.find(upstream);
  if (known == m_histories.end() || known->second.quarantined_until) return;
  UpstreamHistory& history = known->second;
  std::set<Hash> attributed_jobs;
  std::size_t failures = 0;
  for (const UpstreamResult& result : history.results) {
    if (result.succeeded) continue;
    ++failures;
    if (IsUpstreamAtFault(upstream, result)) attributed_jobs.insert(result.job);
  }
  if (attributed_jobs.size() < kFailedJobsForQuarantine || 2 * failures <= history.results.size()) return;
  Quarantine(history, now);
}

void FailureAttribution::Quarantine(UpstreamHistory& history, Time now) {
  Duration duration = kInitialQuarantine;
  for (int i = 0; i < history.quarantine_count && duration < kMaxQuarantine; ++i) duration *= 2;
  history.quarantined_until = now + std::min(duration, kMaxQuarantine);
  history.probe_until.reset();
  history.results.clear();
  ++history.quarantine_count;
}

bool FailureAttribution::IsUpstreamAtFault(const UpstreamId& upstream, const UpstreamResult& result) const {
  const auto job = m_jobs.find(result.job);
  if (job == m_jobs.end()) return false;
  if (job->second.succeeded) return true;
  if (job->second.is_faulty || job->second.failed_on.size() > 1) return false;
  return SucceedsElsewhere(result.kind, StableHash(upstream.value()));
}

bool FailureAttribution::SucceedsElsewhere(Hash kind, Hash upstream) const {
  const auto known = m_kinds.find(kind);
  if (known == m_kinds.end()) return false;
  std::size_t succeeded = 0;
  std::size_t failed = 0;
  for (const KindResult& result : known->second.results) {
    if (result.upstream == upstream) continue;
    ++(result.succeeded ? succeeded : failed);
  }
  return succeeded > failed;
}

bool FailureAttribution::IsReliable(const UpstreamId& upstream, Hash excluded_job) const {
  const auto known = m_histories.find(upstream);
  if (known == m_histories.end() || known->second.quarantined_until) return false;
  std::size_t succeeded = 0;
  std::size_t failed = 0;
  for (const UpstreamResult& result : known->second.results) {
    if (result.job == excluded_job) continue;
    ++(result.succeeded ? succeeded : failed);
  }
  return succeeded > failed;
}

}  // namespace jaymast
