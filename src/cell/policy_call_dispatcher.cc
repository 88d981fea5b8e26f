#include "cell/policy_call_dispatcher.h"

#include <algorithm>
#include <utility>

namespace jaymast {
namespace {

/// Two short calls keep an instance busy across the round trip between instances.
constexpr int kMaxOpenShort = 2;
/// One in this many instances is kept for short calls.
constexpr std::size_t kShortShare = 4;
/// An instance whose call had no answer is left out this long.
constexpr Duration kBlockTime{1'000'000};

}  // namespace

void PolicyCallDispatcher::SetPolicyCallers(const std::vector<std::string>& addresses) {
  std::map<std::string, Agent> agents;
  for (const std::string& address : addresses) {
    const auto found = m_agents.find(address);
    agents[address] = found == m_agents.end() ? Agent{} : found->second;
  }
  m_agents = std::move(agents);
}

std::size_t PolicyCallDispatcher::LongLimit() const {
  const std::size_t count = m_agents.size();
  if (count < 2) return count;
  return count - (count + kShortShare - 1) / kShortShare;
}

std::optional<std::string> PolicyCallDispatcher::Pick(std::int64_t expected_ms, Time now) const {
  const bool is_short = expected_ms <= kShortCallMs;
  if (!is_short && m_open_long >= LongLimit()) return std::nullopt;
  std::optional<std::string> best;
  int best_open = is_short ? kMaxOpenShort : 1;
  for (const auto& [address, agent] : m_agents) {
    if (agent.blocked_until > now || agent.open_long > 0 || agent.open_short >= best_open) continue;
    best_open = agent.open_short;
    best = address;
  }
  return best;
}

bool PolicyCallDispatcher::HasRoom(std::int64_t expected_ms, Time now) const {
  return Pick(expected_ms, now).has_value();
}

bool PolicyCallDispatcher::TryAsk(const PolicyRequest& question, Time now,
                                  std::function<void(const PolicyReply&)> done) {
  const std::optional<std::string> picked = Pick(question.expected_ms, now);
  if (!picked) return false;
  const std::string& address = *picked;
  Agent* agent = &m_agents[address];
  const bool is_short = question.expected_ms <= kShortCallMs;
  if (is_short) {
    ++agent->open_short;
  } else {
    ++agent->open_long;
    ++m_open_long;
  }
  m_port.RequestTickets(address, question,
                        [this, address, is_short, now, done = std::move(done)](const PolicyReply& answer) {
                          if (!is_short) --m_open_long;
                          const auto found = m_agents.find(address);
                          if (found != m_agents.end()) {
                            int& open = is_short ? found->second.open_short : found->second.open_long;
                            open = std::max(0, open - 1);
                            if (!answer.is_answered) found->second.blocked_until = now + kBlockTime;
                          }
                          done(answer);
                        });
  return true;
}

}  // namespace jaymast
