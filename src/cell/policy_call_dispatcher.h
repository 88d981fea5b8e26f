#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "cell/policy_client.h"

namespace jaymast {

/// Spreads the calls to the policy service over the instances, each of which has one call at a time.
///
/// Callers ask in the order of their urgency and are turned away while all instances are busy. Part of the instances is
/// kept for short calls, so that a preview does not wait behind a long call.
class PolicyCallDispatcher {
 public:
  explicit PolicyCallDispatcher(PolicyClient& port) : m_port(port) {}

  /// Replaces the instances that make calls. The empty address stands for this instance.
  void SetPolicyCallers(const std::vector<std::string>& addresses);

  /// Whether a call of this length would be made now.
  bool CanCall(std::int64_t expected_ms, Time now) const;

  /// Makes a call if an instance has room for it.
  /// @return whether the call was made; only then is `done` called
  bool TryCall(const PolicyRequest& request, Time now, std::function<void(const PolicyReply&)> done);

  /// Calls up to this length count as short.
  static constexpr std::int64_t kShortCallMs = 60;

 private:
  struct Caller {
    int open_short = 0;
    int open_long = 0;
    Time blocked_until{};  ///< after a call without an answer
  };

  /// Address of the instance that should make the call, or nothing when all are busy.
  std::optional<std::string> FindCaller(std::int64_t expected_ms, Time now) const;
  std::size_t LongLimit() const;

  PolicyClient& m_port;
  std::map<std::string, Caller> m_callers;
  std::size_t m_open_long = 0;
};

}  // namespace jaymast
