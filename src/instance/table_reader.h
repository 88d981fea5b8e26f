#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "base/time.h"
#include "cell/cell_event_sink.h"
#include "cell/page_sizer.h"
#include "cell/state_store.h"

namespace jaymast {

/// Reads all rows of a table of the store once, page by page. Pages that fail are read again.
class TableReader {
 public:
  struct Listener {
    std::function<void(const StateScanReply&)> on_page;
    /// All pages were read.
    std::function<void(std::int64_t store_now_ms)> on_complete;
    /// Requests a tick, to read the next page.
    std::function<void()> request_tick;
  };

  TableReader(StateStore& store, CellEventSink& events, std::string table, Listener listener);

  /// @param is_store_out whether the store has not replied to this instance for so long that it counts as unavailable
  void OnTick(Time now, bool is_store_out);

  bool is_complete() const { return m_is_complete; }
  std::size_t rows() const { return m_rows; }
  std::size_t bytes() const { return m_bytes; }

 private:
  void ReadPage();
  void OnPage(std::uint64_t number, const StateScanReply& reply);

  StateStore& m_store;
  CellEventSink& m_events;
  const std::string m_table;
  const Listener m_listener;
  Time m_now{};
  bool m_is_store_out = false;
  std::string m_next_key;
  PageSizer m_page_sizer;
  Time m_page_sent_at{};
  std::uint64_t m_page_number = 0;     ///< of the last read of a page
  std::uint64_t m_ended_silences = 0;  ///< of the store when it was sent
  bool m_is_reading = false;
  Time m_next_read_at{};
  std::size_t m_rows = 0;
  std::size_t m_bytes = 0;
  bool m_is_complete = false;
};

}  // namespace jaymast
