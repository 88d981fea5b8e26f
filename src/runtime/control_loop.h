#pragma once

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "base/time.h"
#include "runtime/process_clock.h"

namespace jaymast {

/// Runs posted tasks one by one on the control thread, and a hook when the next deadline passes.
class ControlLoop {
 public:
  using Task = std::function<void()>;

  /// Functions that are called on the control thread.
  struct Hooks {
    Task on_tick;                                        ///< called when the next deadline has passed
    std::function<std::optional<Time>()> next_deadline;  ///< called after each batch of tasks
  };

  ControlLoop(const ProcessClock& clock, Hooks hooks);

  /// Stops the thread if it is still running.
  ~ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  void Start();

  /// Appends a task. May be called from any thread. Tasks posted after Stop() are dropped.
  void Post(Task task);

  /// Finishes the current batch of tasks and joins the thread.
  void Stop();

  std::size_t queued() const;

  /// Total time that the thread has spent in tasks and hooks.
  Duration busy_time() const { return Duration(m_busy_micros.load(std::memory_order_relaxed)); }

 private:
  void Run();
  std::vector<Task> WaitForTasks();
  void RunBatch(const std::vector<Task>& tasks);

  const ProcessClock& m_clock;
  const Hooks m_hooks;
  mutable std::mutex m_mutex;  ///< guards m_tasks and m_is_stopping
  std::condition_variable m_wake;
  std::vector<Task> m_tasks;
  bool m_is_stopping = false;
  std::optional<Time> m_deadline;  ///< used by the control thread only
  std::atomic<std::int64_t> m_busy_micros = 0;
  std::thread m_thread;
};

}  // namespace jaymast
