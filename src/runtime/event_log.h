#pragma once

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "core/event.h"
#include "runtime/event_sink.h"
#include "runtime/settings.h"

namespace jaymast {

/// Event log of the process: the last events in memory, and all events in a sink.
///
/// A thread of its own encodes and writes the events for the sink, so that the control thread does neither.
class EventLog {
 public:
  explicit EventLog(const EventSettings& settings);

  /// Writes the events that wait, and joins the thread.
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// Appends an event. Its output is dropped when too many events wait to be written.
  void Append(Event event);

  /// Some encoded events, and the number of the event after the last one.
  struct Page {
    std::string lines;
    std::uint64_t next = 0;
  };

  /// Events from number `since` on, or the last ones, as far as they are still in memory and fit into a page.
  Page Read(std::optional<std::uint64_t> since) const;

  std::size_t queued() const;
  std::uint64_t dropped() const { return m_dropped; }

  /// Most events in a page. Pages are made on the control thread, so they must not take long.
  static constexpr std::size_t kMaxPageEvents = 1000;

 private:
  void Run();
  void Write(const std::vector<Event>& events);

  const std::size_t m_max_ring;
  const std::size_t m_max_queue;
  const std::unique_ptr<EventSink> m_sink;
  mutable std::mutex m_mutex;  ///< guards the members up to m_is_stopping
  std::condition_variable m_wake;
  std::deque<Event> m_ring;
  std::uint64_t m_next = 0;  ///< number of the next event
  std::vector<Event> m_queue;
  bool m_is_stopping = false;
  std::atomic<std::uint64_t> m_dropped = 0;
  std::thread m_thread;
};

}  // namespace jaymast
