#include "runtime/event_log.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

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

void EventLog::Append(std::string line) {
  const std::lock_guard lock(m_mutex);
  ++m_next;
  if (m_sink && m_queued_lines >= m_max_queue) {
    if (m_dropped++ == 0) LOG(WARNING) << "jaymast.events.dropped: the event output is too slow, lines are dropped";
  } else if (m_sink) {
    m_queue += line;
    m_queue += '\n';
    if (m_queued_lines++ == 0) m_wake.notify_one();
  }
  m_ring.push_back(std::move(line));
  if (m_ring.size() > m_max_ring) m_ring.pop_front();
}

EventLog::Page EventLog::Since(std::uint64_t since) const {
  const std::lock_guard lock(m_mutex);
  const std::uint64_t first = m_next - m_ring.size();
  const std::uint64_t begin = std::clamp(since, first, m_next) - first;
  Page page;
  page.next = m_next;
  for (std::size_t i = begin; i < m_ring.size(); ++i) page.lines += m_ring[i] + '\n';
  return page;
}

std::size_t EventLog::queued() const {
  const std::lock_guard lock(m_mutex);
  return m_queued_lines;
}

void EventLog::Run() {
  std::unique_lock lock(m_mutex);
  while (true) {
    m_wake.wait(lock, [this] { return m_is_stopping || !m_queue.empty(); });
    if (m_queue.empty()) return;
    const std::string lines = std::exchange(m_queue, {});
    const std::size_t count = std::exchange(m_queued_lines, 0);
    lock.unlock();
    if (!m_sink->Write(lines)) {
      LOG_EVERY_N(WARNING, 100) << "jaymast.events.output: cannot write to the event output";
      m_dropped += count;
    }
    lock.lock();
  }
}

}  // namespace jaymast
