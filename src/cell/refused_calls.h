#pragma once

#include <deque>
#include <set>
#include <string>
#include <utility>

#include "base/time.h"

namespace jaymast {

/// Remembers recently refused submissions by the id of the call.
///
/// A relayed call may reach the leader twice, as it is sent again after a connection timeout. Once the client has the
/// response that the job does not run, the late copy must not be accepted.
class RefusedCalls {
 public:
  void Add(const std::string& call_id, Time now) {
    if (call_id.empty()) return;
    m_ids.insert(call_id);
    m_order.emplace_back(now + kRetention, call_id);
  }

  bool Contains(const std::string& call_id, Time now) {
    while (!m_order.empty() && m_order.front().first <= now) {
      m_ids.erase(m_order.front().second);
      m_order.pop_front();
    }
    return m_ids.contains(call_id);
  }

 private:
  /// A copy delayed by a network partition arrives within this time; partitions last 10 s at most.
  static constexpr Duration kRetention{15'000'000};

  std::set<std::string> m_ids;
  std::deque<std::pair<Time, std::string>> m_order;
};

}  // namespace jaymast
