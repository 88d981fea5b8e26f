#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>

#include "base/time.h"
#include "cell/client_call.h"

namespace jaymast {

/// Remembers the replies to recently refused submissions by the id of the call.
///
/// A relayed call may reach the leader twice, as it is sent again after a connection timeout. Once the client has the
/// response that the job does not run, the late copy must not be accepted, and gets the same reply.
class RefusedCalls {
 public:
  void Add(const std::string& call_id, const ClientReply& reply, Time now) {
    if (call_id.empty() || !m_replies.emplace(call_id, reply).second) return;
    m_order.emplace_back(now + kRetention, call_id);
  }

  /// Returns the reply to the call, valid until the next call of a method, or nullptr if the call was not refused.
  const ClientReply* Find(const std::string& call_id, Time now) {
    while (!m_order.empty() && m_order.front().first <= now) {
      m_replies.erase(m_order.front().second);
      m_order.pop_front();
    }
    const auto found = m_replies.find(call_id);
    return found == m_replies.end() ? nullptr : &found->second;
  }

 private:
  /// A copy delayed by a network partition arrives within this time; partitions last 10 s at most.
  static constexpr Duration kRetention{15'000'000};

  std::map<std::string, ClientReply> m_replies;
  std::deque<std::pair<Time, std::string>> m_order;
};

}  // namespace jaymast
