#include "runtime/event_log.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "runtime/event_codec.h"

namespace jaymast {

EventLog::EventLog(const EventSettings& settings)
    : m_max_ring(settings.ring_lines), m_max_queue(settings.queue_lines), m_sink(EventSink::Make(settings)) {
  if (m_sink) m_thread = std::thread([this] { Run(); });
}

EventLog::~EventLog() {
  {
    const std::lock_guard lock(m_mutex);
    m_is_stopping = true;
    m_wake.notify_one();
  }
  if (m_thread.joinable()) m_thread.join();
}

void EventLog::Append(Event event) {
  const std::lock_guard lock(m_mutex);
  ++m_next;
  if (m_sink && m_queue.size() >= m_max_queue) {
    if (m_dropped++ == 0) LOG(WARNING) << "jaymast.events.dropped: event output is too slow; dropping events";
  } else if (m_sink) {
    m_queue.push_back(event);
    if (m_queue.size() == 1) m_wake.notify_one();
  }
  m_ring.push_back(std::move(event));
  if (m_ring.size() > m_max_ring) m_ring.pop_front();
}

EventLog::Page EventLog::Read(std::optional<std::uint64_t> since) const {
  const std::lock_guard lock(m_mutex);
  const std::uint64_t first = m_next - m_ring.size();
  const std::uint64_t last_page = m_next - std::min(m_ring.size(), kMaxPageEvents);
  const std::uint64_t begin = std::clamp(since.value_or(last_page), first, m_next);
  const std::uint64_t end = std::min<std::uint64_t>(begin + kMaxPageEvents, m_next);
  Page page;
  page.next = end;
  for (std::uint64_t number = begin; number < end; ++number) page.lines += EncodeEvent(m_ring[number - first]) + '\n';
  return page;
}

std::size_t EventLog::queued() const {
  const std::lock_guard lock(m_mutex);
  return m_queue.size();
}

void EventLog::Run() {
  std::unique_lock lock(m_mutex);
  while (true) {
    m_wake.wait(lock, [this] { return m_is_stopping || !m_queue.empty(); });
    if (m_queue.empty()) return;
    const std::vector<Event> events = std::exchange(m_queue, {});
    lock.unlock();
    Write(events);
    lock.lock();
  }
}

void EventLog::Write(const std::vector<Event>& events) {
  std::string lines;
  for (const Event& event : events) lines += EncodeEvent(event) + '\n';
  if (m_sink->Write(lines)) return;
  LOG_EVERY_N(WARNING, 100) << "jaymast.events.output: cannot write to event output; dropping events";
  m_dropped += events.size();
}

}  // namespace jaymast
