#include "cell/policy_call_dispatcher.h"

#include <algorithm>
#include <utility>

namespace jaymast {
namespace {

/// A second short call keeps an instance busy during the round trip between instances.
constexpr int kMaxOpenShortCalls = 2;
/// One in this many instances is reserved for short calls.
constexpr std::size_t kInstancesPerShortCallReserve = 4;
/// An instance whose call got no reply is not used for this time.
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

std::size_t PolicyCallDispatcher::MaxLongCalls() const {
  const std::size_t count = m_callers.size();
  if (count < 2) return count;
  return count - (count + kInstancesPerShortCallReserve - 1) / kInstancesPerShortCallReserve;
}

std::optional<std::string> PolicyCallDispatcher::FindCaller(std::int64_t expected_ms, Time now) const {
  const bool is_short = expected_ms <= kMaxShortCallMs;
  if (!is_short && m_open_long_calls >= MaxLongCalls()) return std::nullopt;
  std::optional<std::string> best;
  int best_open = is_short ? kMaxOpenShortCalls : 1;
  for (const auto& [address, caller] : m_callers) {
    if (caller.blocked_until > now || caller.open_long_calls > 0 || caller.open_short_calls >= best_open) continue;
    best_open = caller.open_short_calls;
    best = address;
  }
  return best;
}

bool PolicyCallDispatcher::CanCall(std::int64_t expected_ms, Time now) const {
  return FindCaller(expected_ms, now).has_value();
}

std::size_t PolicyCallDispatcher::CountOpenCalls() const {
  std::size_t count = 0;
  for (const auto& [address, caller] : m_callers) {
    count += static_cast<std::size_t>(caller.open_short_calls + caller.open_long_calls);
  }
  return count;
}

std::size_t PolicyCallDispatcher::CountBlockedCallers(Time now) const {
  return static_cast<std::size_t>(std::count_if(m_callers.begin(), m_callers.end(),
                                                [now](const auto& entry) { return entry.second.blocked_until > now; }));
}

bool PolicyCallDispatcher::TryCall(const PolicyRequest& request, Time now,
                                   std::function<void(const PolicyReply&)> done) {
  const std::optional<std::string> picked = FindCaller(request.expected_ms, now);
  if (!picked) return false;
  const std::string& address = *picked;
  Caller* caller = &m_callers[address];
  const bool is_short = request.expected_ms <= kMaxShortCallMs;
  if (is_short) {
    ++caller->open_short_calls;
  } else {
    ++caller->open_long_calls;
    ++m_open_long_calls;
  }
  m_client.RequestTickets(address, request,
                          [this, address, is_short, now, done = std::move(done)](const PolicyReply& reply) {
                            if (!is_short) --m_open_long_calls;
                            const auto found = m_callers.find(address);
                            if (found != m_callers.end()) {
                              int& open = is_short ? found->second.open_short_calls : found->second.open_long_calls;
                              open = std::max(0, open - 1);
                              if (!reply.is_answered) found->second.blocked_until = now + kFailureBackoff;
                            }
                            done(reply);
                          });
  return true;
}

}  // namespace jaymast
