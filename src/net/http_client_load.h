#pragma once

#include <atomic>
#include <cstdint>

namespace jaymast {

/// Counters of a client since its start, over all its addresses. May be used on any thread.
struct HttpClientLoad {
  using Counter = std::atomic<std::uint64_t>;

  Counter connects = 0;             ///< connections that were begun
  Counter failed_connects = 0;      ///< connections that could not be established
  Counter requests = 0;             ///< requests that were assigned to a connection
  Counter reused_requests = 0;      ///< of these, on a connection that had served another one before
  Counter missed_queued = 0;        ///< requests that were still queued at their deadline
  Counter missed_sent = 0;          ///< requests that were assigned to a connection and missed their deadline
  Counter late_responses = 0;       ///< responses that were discarded because their request missed its deadline
  Counter closed_by_miss = 0;       ///< connections closed because their request missed its deadline
  Counter idle_closed_by_miss = 0;  ///< idle connections closed because a request missed its deadline
};

}  // namespace jaymast
