#include "instance/table_reader.h"

#include <utility>

namespace jaymast {
namespace {

constexpr Duration kRetryDelay{50'000};
/// Delay after a page that does not continue the one before.
constexpr Duration kNoProgressDelay{1'000'000};

}  // namespace

TableReader::TableReader(StateStore& store, CellEventSink& events, std::string table, Listener listener)
    : m_store(store), m_events(events), m_table(std::move(table)), m_listener(std::move(listener)) {}

void TableReader::OnTick(Time now, bool is_store_out) {
  m_now = now;
  m_is_store_out = is_store_out;
  const bool is_page_lost = m_is_reading && m_store.contact().ended_silences() != m_ended_silences;
  if (!m_is_complete && (is_page_lost || (!m_is_reading && now >= m_next_read_at))) ReadPage();
}

void TableReader::ReadPage() {
  m_is_reading = true;
  m_page_sent_at = m_now;
  m_ended_silences = m_store.contact().ended_silences();
  m_store.Scan(m_table, m_next_key, "", m_page_sizer.limits(),
               [this, number = ++m_page_number](const StateScanReply& reply) { OnPage(number, reply); });
}

void TableReader::OnPage(std::uint64_t number, const StateScanReply& reply) {
  if (number != m_page_number) return;
  m_is_reading = false;
  if (!reply.is_available) {
    // An outage says nothing about the link. The time limit grew to 7.2 s in one of 9 s, and delayed the next page by
    // it.
    if (!m_is_store_out) m_page_sizer.OnFailure(m_now - m_page_sent_at);
    m_next_read_at = m_now + kRetryDelay;
    return;
  }
  m_page_sizer.OnPage(m_now - m_page_sent_at);
  if (reply.has_more && (reply.rows.empty() || reply.rows.back().key < m_next_key)) {
    m_events.Emit("records.no_progress", {{"table", m_table}, {"key", m_next_key}});
    m_next_read_at = m_now + kNoProgressDelay;
    return;
  }
  for (const StateRow& row : reply.rows) {
    ++m_rows;
    m_bytes += row.value.size();
  }
  m_listener.on_page(reply);
  if (reply.has_more) {
    // Continues just above the last key.
    m_next_key = reply.rows.back().key + '\x01';
    return m_listener.request_tick();
  }
  m_is_complete = true;
  m_listener.on_complete(reply.now_ms);
}

}  // namespace jaymast
