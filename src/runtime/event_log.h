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

/// Keeps the latest events of the process in memory and writes all events to a sink.
///
/// A dedicated thread encodes and writes the events for the sink, so that Append() on the control thread does neither.
class EventLog {
 public:
  explicit EventLog(const EventSettings& settings);

  /// Writes the queued events and joins the thread.
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// Appends an event. It is not written to the sink if the write queue is full.
  void Append(Event event);

  /// Consecutive encoded events, and the sequence number of the event after the last one.
  struct Page {
    std::string lines;
    std::uint64_t next = 0;
  };

  /// Reads one page of events from sequence number `since` on, or the latest page without it. Skips events that are no
  /// longer in memory.
  Page Read(std::optional<std::uint64_t> since) const;

  std::size_t queued() const;
  std::uint64_t dropped() const { return m_dropped; }

  /// Maximum events in a page. Pages are encoded on the control thread, which must not be blocked for long.
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
  std::uint64_t m_next = 0;  ///< sequence number of the next event
  std::vector<Event> m_queue;
  bool m_is_stopping = false;
  std::atomic<std::uint64_t> m_dropped = 0;
  std::thread m_thread;
};

}  // namespace jaymast
