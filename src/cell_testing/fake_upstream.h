#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "cell/upstream_client.h"
#include "cell_testing/event_queue.h"
#include "jobs/job_record.h"
#include "jobs/upstream_listing.h"

namespace jaymast {

/// Runs on all upstreams of a test, and violations of the guarantees.
struct RunHistory {
  std::map<TaskKey, int> running;  ///< number of active runs
  std::map<TaskKey, int> starts;
  std::map<TaskKey, int> done;
  std::map<TaskKey, Time> done_at;  ///< when the task was last done
  std::map<TaskKey, int> failed;
  std::set<TaskKey> acknowledged_done;
  std::map<std::pair<TaskKey, std::int32_t>, std::set<std::size_t>> gang_members_at_100;  ///< by first member and run
  std::map<std::pair<TaskKey, std::int32_t>, std::set<std::string>> gang_checkpoints;     ///< carried by the starts
  std::map<TaskKey, std::set<std::int32_t>> runs;
  std::vector<std::string> violations;
};

/// Behaviour of a task, given by its payload: "ms=<run time>", "cpu=<thousandths of a core>", and "fails", "hangs" or
/// "lasts".
struct FakeWork {
  Duration run_time{500'000};
  Resources demand;
  std::size_t gang_size = 0;  ///< members that must be present, 0 for a single task
  bool fails = false;
  bool hangs = false;
  bool lasts = false;
};

/// Simulates one upstream, with the lease, fencing and end reports of the platform's upstreams.
class FakeUpstream {
 public:
  FakeUpstream(EventQueue& queue, RunHistory& history, UpstreamListing listing)
      : m_queue(queue), m_history(history), m_listing(std::move(listing)) {}

  const UpstreamListing& listing() const { return m_listing; }
  std::size_t running_tasks() const { return m_running.size(); }
  UpstreamListing& listing() { return m_listing; }

  OrderReply Start(const StartOrder& order, const FakeWork& work) {
    Advance();
    OrderReply reply{OrderStatus::kAccepted, ClockMs()};
    if (order.target.fencing_token < m_fencing_token) return {OrderStatus::kFenced, ClockMs()};
    m_fencing_token = order.target.fencing_token;
    if (order.lease_until_ms <= ClockMs()) return {OrderStatus::kExpiredOnArrival, ClockMs()};
    ExtendLease(order.lease_until_ms);
    const auto found = m_running.find(order.task);
    if (found != m_running.end() && found->second.run == order.run) return reply;
    if (accepts_ticket && !accepts_ticket(order, m_listing)) return {OrderStatus::kBadTicket, ClockMs()};
    if (m_highest_run[order.task] >= order.run) return {OrderStatus::kStaleRun, ClockMs()};
    if (found != m_running.end()) return {OrderStatus::kStaleRun, ClockMs()};
    Resources used = work.demand;
    for (const auto& [key, run] : m_running) used += run.work.demand;
    if (!used.FitsIn(m_listing.capacity)) AddViolation("capacity exceeded", order.task);
    if (m_history.running[order.task] > 0) AddViolation("two runs at one time", order.task);
    // A long-running task is started again however it ends.
    if (m_history.acknowledged_done.contains(order.task) && !work.lasts) {
      AddViolation("started after acknowledged end", order.task);
    }
    ++m_history.running[order.task];
    ++m_history.starts[order.task];
    m_history.runs[order.task].insert(order.run);
    if (on_begun) on_begun(order, m_listing);
    if (work.gang_size > 0) m_history.gang_checkpoints[GangRun(order.task, order.run)].insert(order.checkpoint);
    const Duration run_time(static_cast<std::int64_t>(static_cast<double>((work.run_time * slowdown).count()) / speed));
    m_running[order.task] = {order.run, work, m_queue.now(), run_time};
    m_queue.After(run_time + Duration(1), [this] { Advance(); });
    return reply;
  }

  OrderReply Stop(const StopOrder& order) {
    Advance();
    if (order.target.fencing_token < m_fencing_token) return {OrderStatus::kFenced, ClockMs()};
    m_fencing_token = order.target.fencing_token;
    m_highest_run[order.task] = std::max(m_highest_run[order.task], order.run);
    const auto found = m_running.find(order.task);
    if (found != m_running.end() && found->second.run == order.run) End(order.task, EndKind::kStopped);
    return {OrderStatus::kAccepted, ClockMs()};
  }

  /// Replies at once, or at the next end or after the wait if there is nothing to report.
  void Sync(const SyncOrder& order, const std::function<void(SyncReply)>& done) {
    Advance();
    if (order.target.fencing_token < m_fencing_token) {
      SyncReply reply;
      reply.status = OrderStatus::kFenced;
      return done(reply);
    }
    m_fencing_token = order.target.fencing_token;
    if (order.lease_until_ms > 0) ExtendLease(order.lease_until_ms);
    while (!m_ends.empty() && m_ends.front().number <= order.acknowledged_end) {
      if (m_ends.front().kind == EndKind::kDone && !m_ends_before_lease_expiry.contains(m_ends.front().number)) {
        m_history.acknowledged_done.insert(m_ends.front().task);
      }
      m_ends.erase(m_ends.begin());
    }
    if (!m_ends.empty() || order.wait_ms == 0) return done(MakeSyncReply());
    const std::uint64_t number = ++m_wait_count;
    m_waiting_syncs[number] = done;
    m_queue.After(std::chrono::milliseconds(order.wait_ms), [this, number] { ReplyToWaiting(number); });
  }

  bool Runs(const TaskKey& task) const { return m_running.contains(task); }

  /// Calls `action` with each active run and its demand.
  void ForEachRun(const std::function<void(const TaskKey&, const Resources&)>& action) const {
    for (const auto& [key, run] : m_running) action(key, run.work.demand);
  }

  /// Ends a run.
  void EndRun(const TaskKey& task, EndKind kind) { End(task, kind); }

  /// Restarts the process without its state.
  void Restart() {
    for (const auto& [key, run] : m_running) --m_history.running[key];
    m_running.clear();
    m_ends.clear();
    m_waiting_syncs.clear();
    m_highest_run.clear();
    m_ends_before_lease_expiry.clear();
    m_fencing_token = 0;
    m_last_end = 0;
    ++m_listing.incarnation;
    m_started_at = m_queue.now();
    m_lease_until_ms = 0;
  }

  /// Applies the lease expiry and the ends of runs up to now.
  void Advance() {
    if (ClockMs() >= m_lease_until_ms) {
      for (const EndedRun& end : m_ends) m_ends_before_lease_expiry.insert(end.number);
      const auto running = m_running;
      for (const auto& [key, run] : running) End(key, EndKind::kLeaseExpired);
    }
    const auto running = m_running;
    for (const auto& [key, run] : running) {
      if (Percent(run) < 100 || !m_running.contains(key)) continue;
      if (run.work.gang_size > 0) {
        std::set<std::size_t>& finished = m_history.gang_members_at_100[GangRun(key, run.run)];
        finished.insert(key.index);
        if (finished.size() < run.work.gang_size) {
          ScheduleGangPoll();
          continue;
        }
      }
      End(key, run.work.fails || fails_runs ? EndKind::kFailed : EndKind::kDone);
    }
  }

  /// Whether a start carries a valid ticket; not checked if empty.
  std::function<bool(const StartOrder&, const UpstreamListing&)> accepts_ticket;
  std::function<void(const StartOrder&, const UpstreamListing&)> on_begun;  ///< a run has begun
  bool is_reachable = true;
  bool fails_runs = false;    ///< runs fail at their end
  bool stands_still = false;  ///< runs stay at 10 percent
  double speed = 1;           ///< runs that start now take their run time divided by this
  int slowdown = 1;           ///< runs that start now take this many times as long

 private:
  static constexpr Duration kGangPollInterval{50'000};
  static constexpr std::int32_t kStandStillPercent = 10;
  static constexpr std::int64_t kMaxLeaseMs = 10'000;  ///< a longer lease is shortened

  struct Run {
    std::int32_t run = 0;
    FakeWork work;
    Time started_at{};
    Duration run_time{};
  };

  static std::pair<TaskKey, std::int32_t> GangRun(const TaskKey& member, std::int32_t run) {
    return {TaskKey{member.job, member.occurrence, member.step, 0}, run};
  }

  std::int32_t Percent(const Run& run) const {
    if (stands_still || run.work.hangs) return kStandStillPercent;
    const Duration elapsed = std::min(m_queue.now() - run.started_at, run.run_time);
    return static_cast<std::int32_t>(100 * elapsed.count() / std::max<std::int64_t>(1, run.run_time.count()));
  }

  /// Checkpoint of a run: its upstream and progress, empty before the first tenth.
  std::string Checkpoint(const TaskKey& key, const Run& run) const {
    const std::int32_t tenths = Percent(run) / 10;
    if (run.work.gang_size == 0 || tenths == 0) return {};
    return std::to_string(key.index) + "@" + std::to_string(tenths);
  }

  /// At most one poll is scheduled, so that the number of scheduled calls stays bounded.
  void ScheduleGangPoll() {
    if (m_is_gang_poll_scheduled) return;
    m_is_gang_poll_scheduled = true;
    m_queue.After(kGangPollInterval, [this] {
      m_is_gang_poll_scheduled = false;
      Advance();
    });
  }

  std::int64_t ClockMs() const { return 1 + ToMillis(m_queue.now() - m_started_at); }

  void ExtendLease(std::int64_t until_ms) {
    until_ms = std::min(until_ms, ClockMs() + kMaxLeaseMs);
    m_lease_until_ms = std::max(m_lease_until_ms, until_ms);
    m_queue.After(std::chrono::milliseconds(std::max<std::int64_t>(1, until_ms - ClockMs())), [this] { Advance(); });
  }

  void End(const TaskKey& key, EndKind kind) {
    const Run run = m_running.at(key);
    m_running.erase(key);
    m_highest_run[key] = std::max(m_highest_run[key], run.run);
    --m_history.running[key];
    if (kind == EndKind::kDone) {
      ++m_history.done[key];
      m_history.done_at[key] = m_queue.now();
    }
    if (kind == EndKind::kFailed) ++m_history.failed[key];
    m_ends.push_back({++m_last_end, key, run.run, kind, Checkpoint(key, run)});
    const auto waiting = m_waiting_syncs;
    for (const auto& [number, done] : waiting) ReplyToWaiting(number);
  }

  void ReplyToWaiting(std::uint64_t number) {
    const auto found = m_waiting_syncs.find(number);
    if (found == m_waiting_syncs.end()) return;
    const auto done = found->second;
    m_waiting_syncs.erase(found);
    done(MakeSyncReply());
  }

  SyncReply MakeSyncReply() const {
    SyncReply reply;
    reply.status = OrderStatus::kAccepted;
    reply.clock_ms = ClockMs();
    reply.incarnation = m_listing.incarnation;
    reply.ended = m_ends;
    for (const auto& [key, run] : m_running) {
      reply.running.push_back({key, run.run, Checkpoint(key, run), Percent(run), 0});
    }
    return reply;
  }

  void AddViolation(const std::string& what, const TaskKey& task) {
    m_history.violations.push_back(what + ": " + FormatTaskKey(task) + " on " + m_listing.id.value() + " at " +
                                   std::to_string(ToMillis(m_queue.now().time_since_epoch())));
  }

  EventQueue& m_queue;
  RunHistory& m_history;
  UpstreamListing m_listing;
  std::uint64_t m_fencing_token = 0;
  std::int64_t m_last_end = 0;
  std::int64_t m_lease_until_ms = 0;
  Time m_started_at{};
  std::map<TaskKey, Run> m_running;
  std::map<TaskKey, std::int32_t> m_highest_run;
  std::vector<EndedRun> m_ends;
  std::set<std::int64_t> m_ends_before_lease_expiry;
  bool m_is_gang_poll_scheduled = false;
  std::uint64_t m_wait_count = 0;
  std::map<std::uint64_t, std::function<void(SyncReply)>> m_waiting_syncs;
};

}  // namespace jaymast
