#include "cell/policy_call_dispatcher.h"

#include <algorithm>
#include <utility>

namespace jaymast {
namespace {

/// A second short call keeps an instance busy during the round trip between instances.
constexpr int kMaxOpenShortCalls = 2;
/// One in this many instances is reserved for short calls.
constexpr std::size_t kInstancesPerShortCallReserve = 4;
/// Calls with tickets for later leave one in this many of the instances for long calls free.
constexpr std::size_t kCallersPerStartReserve = 3;
/// An instance whose call got no reply is not used for this time.
constexpr Duration kFailureBackoff{500'000};
/// A call is overdue this long after its expected end.
constexpr Duration kOverdueMargin{400'000};
/// The timeout of a call is a multiple of its expected duration and a margin. The margin grows with the mean lateness
/// of recent replies, doubles with each call without a reply, and is bounded, as an instance is of no use while a call
/// whose reply was lost is open.
constexpr std::int64_t kTimeoutFactor = 2;
constexpr std::int64_t kTimeoutMarginMs = 1000;
constexpr std::int64_t kLatenessFactor = 3;
constexpr int kMaxDoublings = 2;
constexpr std::int64_t kMaxTimeoutMarginMs = 4000;
constexpr int kLatenessWeight = 5;  ///< the newest reply counts as one in this many
/// With later replies a second call would only wait at the service.
constexpr Duration kMaxLatenessForSecondCall{100'000};

}  // namespace

void PolicyCallDispatcher::SetPolicyCallers(const std::vector<std::string>& addresses) {
  for (auto& [address, caller] : m_callers) caller.is_listed = false;
  for (const std::string& address : addresses) m_callers[address].is_listed = true;
  std::erase_if(m_callers, [](const auto& entry) {
    const Caller& caller = entry.second;
    return !caller.is_listed && caller.open_short_calls + caller.open_long_calls == 0;
  });
}

std::size_t PolicyCallDispatcher::MaxLongCalls() const {
  const auto count = static_cast<std::size_t>(
      std::count_if(m_callers.begin(), m_callers.end(), [](const auto& entry) { return entry.second.is_listed; }));
  if (count < 2) return count;
  return count - (count + kInstancesPerShortCallReserve - 1) / kInstancesPerShortCallReserve;
}

std::optional<std::string> PolicyCallDispatcher::FindCaller(std::int64_t expected_ms, Purpose purpose) const {
  const bool is_short = expected_ms <= kMaxShortCallMs;
  const bool is_prefetch = purpose == Purpose::kPrefetch;
  const std::size_t max_long_calls = MaxLongCalls();
  const std::size_t reserve =
      is_prefetch ? (max_long_calls + kCallersPerStartReserve - 1) / kCallersPerStartReserve : 0;
  if (!is_short && m_open_long_calls + reserve >= max_long_calls) return std::nullopt;
  std::optional<std::string> best;
  int best_open = is_short && !is_prefetch ? kMaxOpenShortCalls : 1;
  for (const auto& [address, caller] : m_callers) {
    if (!caller.is_listed || caller.blocked_until > m_now || caller.open_long_calls > 0) continue;
    if (caller.open_short_calls >= best_open) continue;
    const bool may_wait =
        caller.unanswered_calls > 0 || m_now >= caller.overdue_at || m_lateness > kMaxLatenessForSecondCall;
    if (caller.open_short_calls > 0 && may_wait) continue;
    best_open = caller.open_short_calls;
    best = address;
  }
  return best;
}

bool PolicyCallDispatcher::CanCall(std::int64_t expected_ms, Purpose purpose) const {
  return FindCaller(expected_ms, purpose).has_value();
}

std::size_t PolicyCallDispatcher::CountOpenCalls() const {
  std::size_t count = 0;
  for (const auto& [address, caller] : m_callers) {
    count += static_cast<std::size_t>(caller.open_short_calls + caller.open_long_calls);
  }
  return count;
}

std::size_t PolicyCallDispatcher::CountBlockedCallers() const {
  return static_cast<std::size_t>(std::count_if(
      m_callers.begin(), m_callers.end(), [this](const auto& entry) { return entry.second.blocked_until > m_now; }));
}

bool PolicyCallDispatcher::TryCall(PolicyRequest request, Purpose purpose,
                                   std::function<void(const PolicyReply&)> done) {
  const std::optional<std::string> picked = FindCaller(request.expected_ms, purpose);
  if (!picked) return false;
  Caller& caller = m_callers[*picked];
  const bool is_short = request.expected_ms <= kMaxShortCallMs;
  if (is_short) {
    ++caller.open_short_calls;
  } else {
    ++caller.open_long_calls;
    ++m_open_long_calls;
  }
  const Duration expected = std::chrono::milliseconds(request.expected_ms);
  caller.overdue_at = std::max(m_now + kOverdueMargin, caller.overdue_at) + expected;
  const int doublings = std::min(caller.unanswered_calls, kMaxDoublings);
  const std::int64_t margin_ms = (kTimeoutMarginMs + kLatenessFactor * ToMillis(m_lateness)) << doublings;
  request.timeout_ms = kTimeoutFactor * request.expected_ms + std::min(margin_ms, kMaxTimeoutMarginMs);
  m_client.RequestTickets(*picked, request,
                          [this, address = *picked, is_short, expected_at = m_now + expected,
                           done = std::move(done)](const PolicyReply& reply) {
                            OnReply(address, is_short, expected_at, reply);
                            done(reply);
                          });
  return true;
}

void PolicyCallDispatcher::OnReply(const std::string& address, bool is_short, Time expected_at,
                                   const PolicyReply& reply) {
  if (reply.is_answered) {
    const Duration lateness = std::max(Duration::zero(), m_now - expected_at);
    m_lateness += (lateness - m_lateness) / kLatenessWeight;
  }
  if (!is_short) --m_open_long_calls;
  const auto found = m_callers.find(address);
  Caller& caller = found->second;
  --(is_short ? caller.open_short_calls : caller.open_long_calls);
  const bool has_open_calls = caller.open_short_calls + caller.open_long_calls > 0;
  if (!has_open_calls) caller.overdue_at = Time{};
  if (!caller.is_listed && !has_open_calls) {
    m_callers.erase(found);
    return;
  }
  if (reply.is_answered) {
    caller.unanswered_calls = 0;
    return;
  }
  caller.blocked_until = m_now + kFailureBackoff;
  if (reply.may_be_pending) ++caller.unanswered_calls;
}

}  // namespace jaymast
