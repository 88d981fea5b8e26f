#pragma once

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "runtime/event_sink.h"
#include "runtime/settings.h"

namespace jaymast {

/// Event log of the process: the last lines in memory, and all lines in a sink that a thread of its own writes.
class EventLog {
 public:
  explicit EventLog(const EventSettings& settings);

  /// Writes the lines that wait, and joins the thread.
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// Appends a line without a line end. Drops the output of the line when the sink is too slow.
  void Append(std::string line);

  /// Lines kept in memory, and the number of the line after the last one.
  struct Page {
    std::string lines;
    std::uint64_t next = 0;
  };

  /// Lines from number `since` on, as far as they are still in memory.
  Page Since(std::uint64_t since) const;

  std::size_t queued() const;
  std::uint64_t dropped() const { return m_dropped; }

 private:
  void Run();

  const std::size_t m_max_ring;
  const std::size_t m_max_queue;
  const std::unique_ptr<EventSink> m_sink;
  mutable std::mutex m_mutex;  ///< guards the members up to m_is_stopping
  std::condition_variable m_wake;
  std::deque<std::string> m_ring;
  std::uint64_t m_next = 0;
  std::string m_queue;
  std::size_t m_queued_lines = 0;
  bool m_is_stopping = false;
  std::atomic<std::uint64_t> m_dropped = 0;
  std::thread m_thread;
};

}  // namespace jaymast
