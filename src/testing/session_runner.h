#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "core/upstream_protocol.h"
#include "model/upstream_info.h"
#include "standin/runner_state.h"
#include "testing/session_world.h"

namespace jaymast {

/// One runner of a session, with its faults.
class SessionRunner {
 public:
  using Answer = std::function<void(const UpstreamReply&)>;

  SessionRunner(SessionWorld& world, UpstreamInfo info);

  /// Handles one request at the time of its arrival. `answer` runs once, now or later.
  void Call(const UpstreamRequest& request, Answer answer);

  void Crash();
  void Restart();
  void SetFaults(const RunnerFaults& faults) {
    if (!IsDown()) m_state->SetFaults(faults);
  }
  bool IsDown() const { return m_state == nullptr; }
  const UpstreamInfo& info() const { return m_info; }
  UpstreamInfo& info() { return m_info; }

  /// Delays the next `count` answers, the first of them most, so that they overtake each other.
  void DelayAnswers(std::int64_t count, Duration delay);
  Duration TakeAnswerDelay();

 private:
  void OnEvent(const Event& event);
  void Record(const TaskSpec& spec);
  void Pump();

  SessionWorld& m_world;
  UpstreamInfo m_info;
  std::unique_ptr<RunnerState> m_state;
  std::map<RunnerState::RunToken, Answer> m_waiting;
  std::map<AttemptId, TeamId> m_running;
  std::int64_t m_delayed_answers = 0;
  std::int64_t m_delayed_total = 0;
  Duration m_answer_delay{};
  Time m_next_pump = Time::max();
};

}  // namespace jaymast
