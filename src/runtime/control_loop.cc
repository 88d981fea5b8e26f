#include "runtime/control_loop.h"

#include <utility>

namespace jaymast {

ControlLoop::ControlLoop(const ProcessClock& clock, Hooks hooks) : m_clock(clock), m_hooks(std::move(hooks)) {}

ControlLoop::~ControlLoop() { Stop(); }

void ControlLoop::Start() {
  m_thread = std::thread([this] { Run(); });
}

void ControlLoop::Post(Task task) {
  const std::lock_guard lock(m_mutex);
  if (m_is_stopping) return;
  m_tasks.push_back(std::move(task));
  // The thread takes all queued tasks at once, so only the first one has to wake it.
  if (m_tasks.size() == 1) m_wake.notify_one();
}

void ControlLoop::Stop() {
  {
    const std::lock_guard lock(m_mutex);
    m_is_stopping = true;
    m_wake.notify_one();
  }
  if (m_thread.joinable()) m_thread.join();
}

std::size_t ControlLoop::queued() const {
  const std::lock_guard lock(m_mutex);
  return m_tasks.size();
}

void ControlLoop::Run() {
  while (true) {
    const std::vector<Task> tasks = WaitForTasks();
    const Time begin = m_clock.Now();
    RunBatch(tasks);
    m_deadline = m_hooks.next_deadline();
    m_busy_micros.fetch_add((m_clock.Now() - begin).count(), std::memory_order_relaxed);
    const std::lock_guard lock(m_mutex);
    if (m_is_stopping) return;
  }
}

std::vector<ControlLoop::Task> ControlLoop::WaitForTasks() {
  std::unique_lock lock(m_mutex);
  const auto has_work = [this] { return !m_tasks.empty() || m_is_stopping; };
  if (m_deadline) {
    m_wake.wait_until(lock, m_clock.ToSteady(*m_deadline), has_work);
  } else {
    m_wake.wait(lock, has_work);
  }
  return std::exchange(m_tasks, {});
}

void ControlLoop::RunBatch(const std::vector<Task>& tasks) {
  for (const Task& task : tasks) task();
  // The tasks may have set a timer that is already due.
  const std::optional<Time> deadline = m_hooks.next_deadline();
  if (deadline && *deadline <= m_clock.Now()) m_hooks.on_tick();
}

}  // namespace jaymast
