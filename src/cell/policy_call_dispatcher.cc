#include "cell/policy_call_dispatcher.h"

#include <algorithm>
#include <utility>

namespace jaymast {
namespace {

/// Two short calls keep an instance busy across the round trip between instances.
constexpr int kMaxOpenShort = 2;
/// One in this many instances is kept for short calls.
constexpr std::size_t kInstancesPerShortCallReserve = 4;
/// An instance whose call had no answer is left out this long.
constexpr Duration kFailureBackoff{1'000'000};

}  // namespace

void PolicyCallDispatcher::SetPolicyCallers(const std::vector<std::string>& addresses) {
  std::map<std::string, Caller> callers;
  for (const std::string& address : addresses) {
    const auto found = m_callers.find(address);
    callers[address] = found == m_callers.end() ? Caller{} : found->second;
  }
  m_callers = std::move(callers);
}

std::size_t PolicyCallDispatcher::LongLimit() const {
  const std::size_t count = m_callers.size();
  if (count < 2) return count;
  return count - (count + kInstancesPerShortCallReserve - 1) / kInstancesPerShortCallReserve;
}

std::optional<std::string> PolicyCallDispatcher::FindCaller(std::int64_t expected_ms, Time now) const {
  const bool is_short = expected_ms <= kShortCallMs;
  if (!is_short && m_open_long >= LongLimit()) return std::nullopt;
  std::optional<std::string> best;
  int best_open = is_short ? kMaxOpenShort : 1;
  for (const auto& [address, caller] : m_callers) {
    if (caller.blocked_until > now || caller.open_long > 0 || caller.open_short >= best_open) continue;
    best_open = caller.open_short;
    best = address;
  }
  return best;
}

bool PolicyCallDispatcher::CanCall(std::int64_t expected_ms, Time now) const {
  return FindCaller(expected_ms, now).has_value();
}

bool PolicyCallDispatcher::TryCall(const PolicyRequest& request, Time now,
                                   std::function<void(const PolicyReply&)> done) {
  const std::optional<std::string> picked = FindCaller(request.expected_ms, now);
  if (!picked) return false;
  const std::string& address = *picked;
  Caller* caller = &m_callers[address];
  const bool is_short = request.expected_ms <= kShortCallMs;
  if (is_short) {
    ++caller->open_short;
  } else {
    ++caller->open_long;
    ++m_open_long;
  }
  m_port.RequestTickets(address, request,
                        [this, address, is_short, now, done = std::move(done)](const PolicyReply& reply) {
                          if (!is_short) --m_open_long;
                          const auto found = m_callers.find(address);
                          if (found != m_callers.end()) {
                            int& open = is_short ? found->second.open_short : found->second.open_long;
                            open = std::max(0, open - 1);
                            if (!reply.is_answered) found->second.blocked_until = now + kFailureBackoff;
                          }
                          done(reply);
                        });
  return true;
}

}  // namespace jaymast
