#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/time.h"
#include "core/event.h"
#include "core/upstream_protocol.h"
#include "standin/runner_faults.h"
#include "standin/runner_settings.h"

namespace jaymast {

/// State machine of one fake runner: fencing, leases, capacity and the life of its tasks.
///
/// It has no clock; the caller passes the time, which must not go back. Times in messages are milliseconds on the
/// same clock. Task leases that have passed and run times that are over take effect before any request is handled.
class RunnerState {
 public:
  using EventCallback = std::function<void(const Event&)>;

  /// Identifies a run call that waits for its output.
  using RunToken = std::uint64_t;

  /// Answer to a run call whose task has ended.
  struct RunCompletion {
    RunToken token = 0;
    UpstreamReply reply;
  };

  RunnerState(RunnerSettings settings, EventCallback emit);

  /// Handles any request but a RunTaskRequest, which is refused here because its answer comes later.
  UpstreamReply Handle(const UpstreamRequest& request, Time now);

  /// Starts a task whose output is awaited.
  /// @return the answer when it is known at once, otherwise the token of the completion that Advance() returns
  std::variant<UpstreamReply, RunToken> StartRun(const RunTaskRequest& request, Time now);

  /// Ends tasks whose run time is over or whose lease has lapsed, and returns the run calls to answer.
  std::vector<RunCompletion> Advance(Time now);

  /// When Advance() has to be called next, or nothing while no task will end by itself.
  std::optional<Time> NextDeadline() const;

  void SetFaults(const RunnerFaults& faults) { m_faults = faults; }
  const RunnerFaults& faults() const { return m_faults; }
  const RunnerSettings& settings() const { return m_settings; }
  const FencingToken& owner() const { return m_owner; }
  const Resources& used() const { return m_used; }
  std::size_t running_count() const { return m_running.size(); }
  std::size_t finished_count() const { return m_finished.size(); }
  std::size_t known_count() const { return m_known.size(); }

 private:
  struct RunningTask {
    TaskSpec spec;
    EntryId home;
    Time started;
    std::optional<Time> ends;         ///< absent for a service
    std::optional<Time> lease_until;  ///< absent for a run call
    std::int64_t resumed_ms = 0;      ///< run time contained in the checkpoint it resumed from
    bool fails = false;
    bool throttled = false;
    Time usage_shown_at;  ///< when reports show the usage
    std::vector<RunToken> waiting;
  };

  /// An attempt that must not be started again.
  struct KnownAttempt {
    RunnerTaskState state = RunnerTaskState::kRunning;
    Time start_by;              ///< the start itself is refused from then on
    std::optional<Time> ended;  ///< set when it no longer runs
    bool started = true;        ///< false when a stop arrived before the start
  };

  UpstreamReply HandleOne(const FenceRequest& request, Time now);
  UpstreamReply HandleOne(const RunTaskRequest& request, Time now);
  UpstreamReply HandleOne(const StartTaskRequest& request, Time now);
  UpstreamReply HandleOne(const RenewRequest& request, Time now);
  UpstreamReply HandleOne(const StopTaskRequest& request, Time now);

  UpstreamReply Ok(Time now) const;
  UpstreamReply Refuse(const AttemptId& id, const FencingToken& token, std::string_view reason, Time now) const;
  bool IsOwner(const FencingToken& token) const { return token == m_owner; }
  std::string_view OwnerRefusal(const FencingToken& token) const;
  std::string_view StartRefusal(const AttemptId& id, const TaskSpec& spec) const;
  bool HasOtherAttempt(const AttemptId& id) const;

  RunningTask& Start(const AttemptId& id, const TaskSpec& spec, const EntryId& home, Time start_by, Time now);
  std::optional<Time> EndOf(const TaskSpec& spec, std::int64_t resumed_ms, Time now) const;
  void Settle(Time now);
  std::optional<Time> TaskDeadline(const RunningTask& task) const;
  void Expire(const AttemptId& id, Time at);
  void End(const AttemptId& id, RunnerTaskState state, std::string output, Time at);
  void Throttle(RunningTask& task, Time now) const;
  void ForgetOldAttempts(Time now);

  RunnerTask Describe(const AttemptId& id, const RunningTask& task, Time now) const;
  std::vector<RunnerTask> Report(Time now) const;
  Event MakeEvent(EventKind kind, Time time) const;

  RunnerSettings m_settings;
  EventCallback m_emit;
  RunnerFaults m_faults;
  FencingToken m_owner;
  Resources m_used;
  std::map<AttemptId, RunningTask> m_running;
  std::map<AttemptId, RunnerTask> m_finished;  ///< not yet acknowledged
  std::map<AttemptId, KnownAttempt> m_known;
  std::vector<RunCompletion> m_completions;
  std::int64_t m_waiting_calls = 0;
  RunToken m_last_token = 0;
  Time m_next_forget;
  Time m_settled;  ///< latest time that was passed in; events are not emitted with an earlier one
};

}  // namespace jaymast
