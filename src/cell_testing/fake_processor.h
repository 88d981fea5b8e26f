#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <utility>

#include "base/time.h"
#include "cell_testing/event_queue.h"
#include "cell_testing/processor_settings.h"

namespace jaymast {

/// Processor of a simulated instance: handles messages one after the other, in the order of their arrival.
class FakeProcessor {
 public:
  struct Message {
    MessageKind kind = MessageKind::kTimer;
    std::size_t bytes = 0;
    std::function<void()> handle;
    /// Whether the message is still read at its turn, for example a reply for which nobody waits any more; empty if
    /// it always is. Otherwise it costs nothing.
    std::function<bool()> is_wanted{};
  };

  FakeProcessor(EventQueue& queue, const ProcessorSettings& settings) : m_queue(queue), m_settings(settings) {}

  void Post(Message message) {
    const bool is_timer = message.kind == MessageKind::kTick || message.kind == MessageKind::kTimer;
    std::deque<Message>& inbox = is_timer && m_settings.are_timers_first ? m_timers : m_inbox;
    inbox.push_back(std::move(message));
    max_waiting = std::max(max_waiting, waiting());
    BeginTurn();
  }

  /// Adds work to the message that is being handled.
  void Charge(Duration cost) { m_charged += cost; }

  /// The process has ended: its messages are lost.
  void Reset() {
    ++m_generation;
    m_timers.clear();
    m_inbox.clear();
    m_charged = {};
    m_is_busy = false;
  }

  const ProcessorSettings& settings() const { return m_settings; }
  std::size_t waiting() const { return m_timers.size() + m_inbox.size(); }

  std::size_t max_waiting = 0;
  /// Called after each turn with the time at which it began.
  std::function<void(MessageKind, Time began_at)> on_work;

 private:
  void BeginTurn() {
    if (m_is_busy) return;
    while (!m_timers.empty() || !m_inbox.empty()) {
      std::deque<Message>& inbox = m_timers.empty() ? m_inbox : m_timers;
      Message message = std::move(inbox.front());
      inbox.pop_front();
      if (message.is_wanted && !message.is_wanted()) continue;
      return Work(std::move(message));
    }
  }

  void Work(Message message) {
    m_is_busy = true;
    const bool is_last_piece = m_settings.bytes_per_turn == 0 || message.bytes <= m_settings.bytes_per_turn;
    const Duration cost = is_last_piece ? m_settings.CostOf(message.kind) : m_settings.piece_cost;
    m_queue.After(cost, [this, generation = m_generation, is_last_piece, began_at = m_queue.now(),
                         message = std::move(message)]() mutable {
      if (generation != m_generation) return;
      const MessageKind kind = message.kind;
      if (is_last_piece) {
        message.handle();
      } else {
        message.bytes -= m_settings.bytes_per_turn;
        m_inbox.push_back(std::move(message));
      }
      m_queue.After(std::exchange(m_charged, {}), [this, generation, kind, began_at] {
        if (generation != m_generation) return;
        if (on_work) on_work(kind, began_at);
        m_is_busy = false;
        BeginTurn();
      });
    });
  }

  EventQueue& m_queue;
  const ProcessorSettings m_settings;
  std::deque<Message> m_timers;
  std::deque<Message> m_inbox;
  Duration m_charged{};
  bool m_is_busy = false;
  std::uint64_t m_generation = 0;
};

}  // namespace jaymast
