#include "testing/session_runner.h"

#include <utility>
#include <variant>

#include "standin/task_profile.h"

namespace jaymast {

SessionRunner::SessionRunner(SessionWorld& world, UpstreamInfo info) : m_world(world), m_info(std::move(info)) {
  Restart();
}

void SessionRunner::Restart() {
  RunnerSettings settings;
  settings.name = m_info.id.value();
  settings.upstream = m_info.id;
  settings.domain = m_info.domain;
  settings.capacity = m_info.capacity;
  settings.connections = m_info.connections;
  m_state = std::make_unique<RunnerState>(settings, [this](const Event& event) { OnEvent(event); });
}

void SessionRunner::Crash() {
  m_state.reset();
  for (const auto& [id, team] : std::exchange(m_running, {})) {
    Event ended;
    ended.kind = EventKind::kRunnerEnded;
    ended.time = m_world.clock.Now();
    ended.process = m_info.id.value();
    ended.upstream = m_info.id;
    ended.task = id.task;
    ended.attempt = id.attempt;
    ended.team = team;
    ended.detail = "crashed";
    m_world.Emit(ended);
  }
  for (const auto& [token, answer] : std::exchange(m_waiting, {})) answer(UpstreamReply{});
}

void SessionRunner::OnEvent(const Event& event) {
  const AttemptId id{event.task, event.attempt};
  if (event.kind == EventKind::kRunnerStarted) m_running[id] = event.team;
  if (event.kind == EventKind::kRunnerEnded) m_running.erase(id);
  m_world.Emit(event);
}

void SessionRunner::Record(const TaskSpec& spec) {
  m_world.facts.specs[spec.id] = spec;
  m_world.facts.outputs[spec.id] = TaskOutput(spec.id, spec.body);
}

void SessionRunner::Call(const UpstreamRequest& request, Answer answer) {
  const Time now = m_world.clock.Now();
  if (const auto* start = std::get_if<StartTaskRequest>(&request)) Record(start->spec);
  if (const auto* run = std::get_if<RunTaskRequest>(&request)) {
    Record(run->spec);
    const auto started = m_state->StartRun(*run, now);
    if (const auto* token = std::get_if<RunnerState::RunToken>(&started)) {
      m_waiting[*token] = std::move(answer);
    } else {
      answer(std::get<UpstreamReply>(started));
    }
  } else {
    answer(m_state->Handle(request, now));
  }
  Pump();
}

void SessionRunner::Pump() {
  if (IsDown()) return;
  for (const RunnerState::RunCompletion& completion : m_state->Advance(m_world.clock.Now())) {
    const auto waiting = m_waiting.extract(completion.token);
    if (waiting) waiting.mapped()(completion.reply);
  }
  const std::optional<Time> next = m_state->NextDeadline();
  if (!next || *next >= m_next_pump) return;
  m_next_pump = *next;
  m_world.clock.At(*next, [this] {
    m_next_pump = Time::max();
    Pump();
  });
}

void SessionRunner::DelayAnswers(std::int64_t count, Duration delay) {
  m_delayed_answers = count;
  m_delayed_total = count;
  m_answer_delay = delay;
}

Duration SessionRunner::TakeAnswerDelay() {
  if (m_delayed_answers == 0) return Duration();
  return m_answer_delay * m_delayed_answers-- / m_delayed_total;
}

}  // namespace jaymast
