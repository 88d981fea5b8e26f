#include "placement/failure_attribution.h"

#include <algorithm>
#include <set>

#include "base/hash.h"

namespace jaymast {
namespace {

/// Odd multiplier that keeps the hashes of team and kind apart when they are combined.
constexpr std::uint64_t kCombine = 0x9e3779b97f4a7c15;

std::uint64_t KindHash(const TaskSpec& spec) {
  return StableHash(spec.team.value()) * kCombine + StableHash(spec.kind);
}

}  // namespace

void FailureAttribution::OnResult(const UpstreamId& upstream, const TaskSpec& spec, bool succeeded, Time now) {
  const Hash job = StableHash(spec.id.value());
  const Hash kind = KindHash(spec);
  RecordKind(kind, StableHash(upstream.value()), succeeded);
  RecordWorker(m_workers[upstream], {job, kind, succeeded}, now);
  if (succeeded) {
    OnJobSucceeded(job, now);
    return;
  }
  OnJobFailed(job, upstream);
  JudgeWorker(upstream, now);
}

void FailureAttribution::OnStart(const UpstreamId& upstream, Time now) {
  const auto known = m_workers.find(upstream);
  if (known == m_workers.end()) return;
  Worker& worker = known->second;
  if (worker.quarantined_until && *worker.quarantined_until <= now) worker.probe_until = now + kProbeTimeout;
}

bool FailureAttribution::MayStart(const UpstreamId& upstream, Time now) const {
  const auto known = m_workers.find(upstream);
  if (known == m_workers.end() || !known->second.quarantined_until) return true;
  const Worker& worker = known->second;
  if (now < *worker.quarantined_until) return false;
  return !worker.probe_until || *worker.probe_until <= now;
}

std::optional<Time> FailureAttribution::QuarantinedUntil(const UpstreamId& upstream) const {
  const auto known = m_workers.find(upstream);
  return known == m_workers.end() ? std::nullopt : known->second.quarantined_until;
}

bool FailureAttribution::IsFaultyJob(const TaskId& task) const {
  const auto known = m_jobs.find(StableHash(task.value()));
  return known != m_jobs.end() && known->second.bad;
}

std::size_t FailureAttribution::MemoryBytes() const {
  constexpr std::size_t kHashNodeBytes = 24;
  constexpr std::size_t kDequeBlockBytes = 512 + 64;  // the first block of a deque and the table of its blocks
  std::size_t bytes = sizeof(*this) + (m_job_ages.size() + m_kind_ages.size()) * sizeof(Hash);
  bytes += m_workers.size() * (sizeof(UpstreamId) + sizeof(Worker) + kHashNodeBytes + kDequeBlockBytes);
  bytes += m_kinds.size() * (sizeof(Kind) + kHashNodeBytes + kDequeBlockBytes);
  for (const auto& [hash, job] : m_jobs) {
    bytes += sizeof(Job) + kHashNodeBytes + job.failed_on.capacity() * sizeof(UpstreamId);
  }
  return bytes;
}

void FailureAttribution::RecordWorker(Worker& worker, const WorkerResult& result, Time now) {
  const bool was_probe = worker.probe_until.has_value();
  if (worker.quarantined_until && !was_probe) return;  // started before the quarantine
  worker.probe_until.reset();
  if (worker.quarantined_until && !result.succeeded) {
    Quarantine(worker, now);
    return;
  }
  worker.quarantined_until.reset();
  worker.results.push_back(result);
  if (worker.results.size() > kWorkerWindow) worker.results.pop_front();
  const auto succeeded = [](const WorkerResult& past) { return past.succeeded; };
  const bool full = worker.results.size() == kWorkerWindow;
  if (full && std::all_of(worker.results.begin(), worker.results.end(), succeeded)) worker.strikes = 0;
}

void FailureAttribution::RecordKind(Hash kind, Hash upstream, bool succeeded) {
  const auto [known, is_new] = m_kinds.try_emplace(kind);
  std::deque<KindResult>& results = known->second.results;
  results.push_back({upstream, succeeded});
  if (results.size() > kKindWindow) results.pop_front();
  if (!is_new) return;
  m_kind_ages.push_back(kind);
  if (m_kind_ages.size() <= kMaxKinds) return;
  m_kinds.erase(m_kind_ages.front());
  m_kind_ages.pop_front();
}

void FailureAttribution::OnJobSucceeded(Hash job, Time now) {
  const auto known = m_jobs.find(job);
  if (known == m_jobs.end()) return;
  known->second.succeeded = true;
  const std::vector<UpstreamId> failed_on = known->second.failed_on;
  for (const UpstreamId& upstream : failed_on) JudgeWorker(upstream, now);
}

void FailureAttribution::OnJobFailed(Hash job, const UpstreamId& upstream) {
  const auto [known, is_new] = m_jobs.try_emplace(job);
  if (is_new) {
    m_job_ages.push_back(job);
    if (m_job_ages.size() > kMaxJobs) {
      m_jobs.erase(m_job_ages.front());
      m_job_ages.pop_front();
    }
  }
  Job& failed = known->second;
  const bool seen = std::find(failed.failed_on.begin(), failed.failed_on.end(), upstream) != failed.failed_on.end();
  if (!seen) failed.failed_on.push_back(upstream);
  const auto good = [&](const UpstreamId& id) { return IsGoodWorker(id, job); };
  const auto good_workers = std::count_if(failed.failed_on.begin(), failed.failed_on.end(), good);
  const bool failed_on_good = static_cast<std::size_t>(good_workers) >= kJobFailures;
  failed.bad = !failed.succeeded && (failed_on_good || failed.failed_on.size() >= kJobFailuresAnywhere);
}

void FailureAttribution::JudgeWorker(const UpstreamId& upstream, Time now) {
  const auto known = m_workers.find(upstream);
  if (known == m_workers.end() || known->second.quarantined_until) return;
  Worker& worker = known->second;
  std::set<Hash> blamed;
  std::size_t failures = 0;
  for (const WorkerResult& result : worker.results) {
    if (result.succeeded) continue;
    ++failures;
    if (IsBlamed(upstream, result)) blamed.insert(result.job);
  }
  if (blamed.size() < kWorkerFailures || 2 * failures <= worker.results.size()) return;
  Quarantine(worker, now);
}

void FailureAttribution::Quarantine(Worker& worker, Time now) {
  Duration duration = kFirstQuarantine;
  for (int strike = 0; strike < worker.strikes && duration < kLongestQuarantine; ++strike) duration *= 2;
  worker.quarantined_until = now + std::min(duration, kLongestQuarantine);
  worker.probe_until.reset();
  worker.results.clear();
  ++worker.strikes;
}

bool FailureAttribution::IsBlamed(const UpstreamId& upstream, const WorkerResult& result) const {
  const auto job = m_jobs.find(result.job);
  if (job == m_jobs.end()) return false;
  if (job->second.succeeded) return true;
  if (job->second.bad || job->second.failed_on.size() > 1) return false;
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

bool FailureAttribution::IsGoodWorker(const UpstreamId& upstream, Hash excluded_job) const {
  const auto known = m_workers.find(upstream);
  if (known == m_workers.end() || known->second.quarantined_until) return false;
  std::size_t succeeded = 0;
  std::size_t failed = 0;
  for (const WorkerResult& result : known->second.results) {
    if (result.job == excluded_job) continue;
    ++(result.succeeded ? succeeded : failed);
  }
  return succeeded > failed;
}

}  // namespace jaymast
