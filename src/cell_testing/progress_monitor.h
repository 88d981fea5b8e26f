#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cell_testing/fake_site.h"

namespace jaymast {

/// Checks that no accepted job stands still while the upstreams that may run it have room: for 3 s nothing of it runs
/// although a step's turn has come, its room is there twice over, its organisation uses less than half of its limit and
/// all work less than half of the upstreams.
///
/// Judges by the state of the upstreams and of the policy service only, not by that of the scheduler.
class ProgressMonitor {
 public:
  static constexpr Duration kMaxStandstill{3'000'000};
  /// Time without faults before a span that is judged.
  static constexpr Duration kCalmBefore{4'000'000};

  explicit ProgressMonitor(FakeSite& site) : m_site(site) { Sample(); }

  /// A fault begins or ends now.
  void OnFault() { m_calm_since = m_site.queue.now() + kCalmBefore; }

  /// Whether an accepted job has neither completed nor failed, as far as the upstreams know.
  bool IsOpen(const std::string& id) const {
    const FakeSite::Submission& submission = m_site.submissions.at(id);
    if (!submission.is_accepted || submission.is_cancelled) return false;
    const JobId job(id);
    bool is_open = false;
    for (std::size_t s = 0; s < submission.spec.steps.size(); ++s) {
      if (HasFailed(job, submission, s)) return false;
      is_open = is_open || CountOpenTasks(job, submission.spec, s) > 0;
    }
    return is_open;
  }

  std::vector<std::string> violations;
  Duration longest{};  ///< longest standstill that was judged

 private:
  static constexpr Duration kSampleInterval{100'000};
  static constexpr int kMaxAttempts = 3;  ///< of the queues of the simulated cluster

  struct Span {
    bool is_open = false;
    Time since{};
    bool is_reported = false;
  };

  void Sample() {
    const Time now = m_site.queue.now();
    const Usage usage = MeasureUsage();
    for (const auto& [id, submission] : m_site.submissions) {
      Span& span = m_spans[id];
      const std::string why = StandsStill(id, submission, usage);
      if (why.empty() || now < m_calm_since) {
        span = {};
        continue;
      }
      if (!span.is_open) span = {true, now, false};
      longest = std::max(longest, now - span.since);
      if (now - span.since < kMaxStandstill || span.is_reported) continue;
      span.is_reported = true;
      violations.push_back(
          fmt::format("{} has had nothing running since {}: {}", id, ToMillis(span.since.time_since_epoch()), why));
    }
    m_site.queue.After(kSampleInterval, [this] { Sample(); });
  }

  struct Usage {
    Resources capacity;
    Resources total;
    std::map<std::string, Resources> by_key;
    std::map<JobId, int> running;
  };

  Usage MeasureUsage() const {
    Usage usage;
    for (const auto& upstream : m_site.fake_upstreams) {
      if (!upstream->is_reachable) continue;
      usage.capacity += upstream->listing().capacity;
      upstream->ForEachRun([this, &usage](const TaskKey& key, const Resources& demand) {
        usage.total += demand;
        ++usage.running[key.job];
        const auto submission = m_site.submissions.find(key.job.value());
        if (submission != m_site.submissions.end()) usage.by_key[submission->second.key] += demand;
      });
    }
    return usage;
  }

  /// @return the step that could run and the room for it, or nothing
  std::string StandsStill(const std::string& id, const FakeSite::Submission& submission, const Usage& usage) const {
    const JobId job(id);
    if (!submission.is_accepted || submission.is_cancelled || usage.running.contains(job)) return {};
    if (usage.total.cpu_millis * 2 >= usage.capacity.cpu_millis ||
        usage.total.memory_mb * 2 >= usage.capacity.memory_mb) {
      return {};
    }
    for (std::size_t s = 0; s < submission.spec.steps.size(); ++s) {
      const StepSpec& spec = submission.spec.steps[s];
      const bool is_ready =
          std::all_of(spec.dependencies.begin(), spec.dependencies.end(),
                      [&](std::size_t dependency) { return CountOpenTasks(job, submission.spec, dependency) == 0; });
      if (HasFailed(job, submission, s)) return {};
      const std::int64_t open = CountOpenTasks(job, submission.spec, s);
      if (!is_ready || open == 0 || HasUnacknowledgedEnd(job, spec, s)) continue;
      const std::int64_t wanted = spec.is_gang ? spec.task_count : 1;
      if (!IsBelowLimit(submission.key, usage, spec.demand, wanted)) continue;
      const std::int64_t places = CountPlaces(job, submission, s);
      if (places >= 2 * wanted) {
        return "step " + std::to_string(s) + " has " + std::to_string(places) + " places and wants " +
               std::to_string(wanted);
      }
    }
    return {};
  }

  /// Whether the organisation uses less than half of its limit, and the tasks fit under it.
  bool IsBelowLimit(const std::string& key, const Usage& usage, const Resources& demand, std::int64_t tasks) const {
    const auto team = m_site.config->team_of_key.find(key);
    if (team == m_site.config->team_of_key.end()) return true;
    const Resources& limit = m_site.config->teams.at(team->second).limit;
    const auto found = usage.by_key.find(key);
    const Resources used = found == usage.by_key.end() ? Resources{} : found->second;
    const auto is_below = [tasks](std::int64_t bound, std::int64_t in_use, std::int64_t each) {
      return bound == 0 || (in_use * 2 < bound && in_use + each * tasks <= bound);
    };
    return is_below(limit.cpu_millis, used.cpu_millis, demand.cpu_millis) &&
           is_below(limit.memory_mb, used.memory_mb, demand.memory_mb);
  }

  std::int64_t CountOpenTasks(const JobId& job, const JobSpec& spec, std::size_t step) const {
    std::int64_t open = 0;
    for (std::int64_t i = 0; i < spec.steps[step].task_count; ++i) {
      const TaskKey key{job, 0, step, static_cast<std::size_t>(i)};
      const bool is_done = m_site.history.acknowledged_done.contains(key);
      if (is_done && spec.steps[step].is_gang) return 0;
      open += is_done ? 0 : 1;
    }
    return open;
  }

  /// Whether a task has failed as often as the queue allows.
  bool HasFailed(const JobId& job, const FakeSite::Submission& submission, std::size_t step) const {
    for (std::int64_t i = 0; i < submission.spec.steps[step].task_count; ++i) {
      const auto failed = m_site.history.failed.find(TaskKey{job, 0, step, static_cast<std::size_t>(i)});
      if (failed != m_site.history.failed.end() && failed->second >= kMaxAttempts) return true;
    }
    return false;
  }

  bool HasUnacknowledgedEnd(const JobId& job, const StepSpec& spec, std::size_t step) const {
    for (std::int64_t i = 0; i < spec.task_count; ++i) {
      const TaskKey key{job, 0, step, static_cast<std::size_t>(i)};
      const auto done = m_site.history.done.find(key);
      const bool has_ended = done != m_site.history.done.end() && done->second > 0;
      if (has_ended && !m_site.history.acknowledged_done.contains(key)) return true;
    }
    return false;
  }

  std::int64_t CountPlaces(const JobId& job, const FakeSite::Submission& submission, std::size_t step) const {
    const StepSpec& spec = submission.spec.steps[step];
    std::int64_t places = 0;
    for (const auto& upstream : m_site.fake_upstreams) {
      const UpstreamListing& listing = upstream->listing();
      if (!upstream->is_reachable || listing.is_draining || upstream->stands_still) continue;
      if (m_site.domains_out_of_service.contains(listing.domain)) continue;
      if (submission.has_policy && !m_site.policy_service.Allows(job, 0, step, listing.id)) continue;
      Resources free = listing.capacity;
      upstream->ForEachRun([&free](const TaskKey& /*key*/, const Resources& demand) { free -= demand; });
      std::int64_t here = spec.task_count;
      if (spec.demand.cpu_millis > 0) here = std::min(here, free.cpu_millis / spec.demand.cpu_millis);
      if (spec.demand.memory_mb > 0) here = std::min(here, free.memory_mb / spec.demand.memory_mb);
      if (spec.max_per_upstream > 0) here = std::min(here, spec.max_per_upstream);
      places += std::max<std::int64_t>(0, here);
    }
    return places;
  }

  FakeSite& m_site;
  Time m_calm_since{};
  std::map<std::string, Span> m_spans;
};

}  // namespace jaymast
